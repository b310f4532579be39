//! `serve`: the daemon that runs a node on the platform.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, anyhow};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::panics::log_panics;
use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::{SETTINGS_PATH_VARIABLE, read_settings};
use azuresaddle_sched::passes::Mechanism;
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::BadInput;

/// Capacity of the queue of log lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Time for the log writer's thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Exit code of a process that ends after a failure.
const EXIT_FAILED: i32 = 1;

/// The log writer's thread; it writes the queued lines when this is dropped.
struct LogWriter {
    /// Counts lines that were dropped because the queue was full.
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

pub(crate) fn make_subcommand() -> Command {
    Command::new("serve")
        .about("Runs a node on the platform, with the settings file that the platform provides")
        .arg(
            Arg::new("settings")
                .long("settings")
                .env(SETTINGS_PATH_VARIABLE)
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .required(true)
                .help("Path of the settings file"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("AZURESADDLE_METRICS_PORT")
                .value_name("PORT")
                .value_parser(clap::value_parser!(u16))
                .default_value("9464")
                .help("Port on which metrics are served at /metrics; 0 disables it"),
        )
        .arg(
            Arg::new("admission")
                .long("admission")
                .env("AZURESADDLE_ADMISSION")
                .action(ArgAction::SetTrue)
                .help("Refuse streams on arrival that would wait too long, and order them by priority"),
        )
        .arg(
            Arg::new("without")
                .long("without")
                .env("AZURESADDLE_WITHOUT")
                .value_name("MECHANISM")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(PossibleValuesParser::new(
                    Mechanism::ALL.map(Mechanism::name),
                ))
                .help("Placement mechanism to disable; may be given several times"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("AZURESADDLE_LOG_LEVEL")
                .value_parser(["error", "warn", "info", "debug"])
                .default_value("info")
                .help("Lowest severity that is logged"),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let path = args
        .get_one::<PathBuf>("settings")
        .expect("clap requires it");
    let settings = read_settings(path).map_err(|e| anyhow!(BadInput(e.to_string())))?;
    let log = init_log(args);
    log_panics();
    let port = args.get_one::<u16>("metrics-port").copied();
    let options = NodeOptions {
        metrics_port: port.filter(|p| *p != 0),
        admits_by_wait: args.get_flag("admission"),
        without: disabled_mechanisms(args)?,
    };
    let without = options.without.iter().map(|m| m.name());
    let without = without.collect::<Vec<_>>().join(",");
    // A host runs only one thread at a time, so traffic and control have one thread each.
    let traffic = single_thread_runtime()?;
    let control = single_thread_runtime()?;
    let control_handle = control.handle().clone();
    let spawner = Spawner::new(traffic.handle().clone());
    let (tasks, grace) = (spawner.clone(), settings.bounds.stop_grace);
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(exit_after_failure(tasks, grace)))?;
    traffic.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let name = settings.name.clone();
        let node = Node::open(settings, options, TcpNetwork, spawner, control_handle).await?;
        tracing::info!(part = "node", host = %name, without, "started");
        let failure = loop {
            tokio::select! {
                _ = terminate.recv() => break None,
                _ = interrupt.recv() => break None,
                _ = hangup.recv() => reload(path),
                failure = node.failure() => break Some(failure),
            }
        };
        match failure {
            None => node.stop().await,
            Some(failure) => node.stop_failed(failure).await,
        }
        let dropped = log.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!(
                part = "node",
                dropped,
                "log lines were dropped because the queue was full"
            );
        }
        failure.map_or(Ok(()), |failure| Err(anyhow!("{failure}")))
    })
}

fn disabled_mechanisms(args: &ArgMatches) -> Result<Vec<Mechanism>> {
    let names = args.get_many::<String>("without").into_iter().flatten();
    let parsed = names.map(|n| n.parse().map_err(|e| anyhow!(BadInput(e))));
    parsed.collect()
}

/// Reads the settings file again and logs whether it is valid. Addresses and bounds can't change while the process
/// runs, so no change is applied.
fn reload(path: &std::path::Path) {
    match read_settings(path) {
        Ok(settings) => {
            tracing::info!(
                part = "node",
                host = %settings.name,
                "settings file read again; changes need a restart"
            );
        }
        Err(e) => {
            tracing::error!(
                part = "node",
                error = %e,
                "settings file not read; the previous settings stay in effect"
            );
        }
    }
}

/// Ends the process if a task that it can't do without has failed and the thread for traffic, which should end it, has
/// not done so within the grace period.
async fn exit_after_failure(tasks: Spawner, grace: Duration) {
    let failure = tasks.failure().await;
    tokio::time::sleep(grace).await;
    tracing::error!(part = "node", %failure, "ending the process, which did not stop by itself");
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    std::process::exit(EXIT_FAILED);
}

fn single_thread_runtime() -> Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// Starts logging JSON lines to standard output. A thread of its own writes them, so that a slow reader does not delay
/// requests.
fn init_log(args: &ArgMatches) -> LogWriter {
    let level = args
        .get_one::<String>("log-level")
        .map_or("info", String::as_str);
    let filter = format!("error,azuresaddle={level},azuresaddle_edge={level}");
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_env_filter(tracing_subscriber::EnvFilter::new(filter))
        .init();
    LogWriter {
        dropped,
        _guard: guard,
    }
}
