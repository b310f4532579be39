//! `node`: the daemon that runs a node.

use anyhow::{Result, anyhow};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::panics::log_panics;
use azuresaddle_core::prelude::*;
use azuresaddle_node::{Node, OpenError, Settings};
use clap::{Arg, ArgAction, ArgMatches, Command};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use super::BadInput;
use super::node_settings::{self, print_settings, read_settings, traffic_threads};

/// Log formats; the first is the default.
const LOG_FORMATS: [&str; 2] = ["text", "json"];

pub(crate) fn make_subcommand() -> Command {
    Command::new("node")
        .about("Runs a node; every setting can be given as a flag or an environment variable")
        .args(node_settings::args())
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .env("AZURESADDLE_LOG_FORMAT")
                .value_parser(LOG_FORMATS)
                .default_value(LOG_FORMATS[0])
                .help("Format of the log on standard error"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("AZURESADDLE_LOG_LEVEL")
                .value_parser(["error", "warn", "info", "debug"])
                .default_value("info")
                .help("Lowest severity that is logged"),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .action(ArgAction::SetTrue)
                .help("Print the effective settings and the source of each, then exit"),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let settings = read_settings(args)?;
    settings.check().map_err(|e| BadInput(e.to_string()))?;
    let threads = traffic_threads(args)?;
    if args.get_flag("print-settings") {
        print_settings(args);
        return Ok(());
    }
    init_log(args);
    log_panics();
    let traffic = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("control")
        .enable_all()
        .build()?;
    traffic.block_on(run(settings, control.handle().clone()))
}

async fn run(settings: Settings, control: tokio::runtime::Handle) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let opened = Node::open(settings, TcpNetwork, Spawner::current(), control).await;
    let node = opened.map_err(|e| match e {
        OpenError::Settings(e) => anyhow!(BadInput(e.to_string())),
        e => anyhow!(e),
    })?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        failure = node.spawner().failure() => {
            tracing::error!("node: ends after a failure: {failure}");
            return Err(anyhow!("{failure}"));
        }
    }
    node.stop().await;
    Ok(())
}

fn init_log(args: &ArgMatches) {
    let level = args
        .get_one::<String>("log-level")
        .map_or("info", String::as_str);
    // The level applies to this project's crates only; libraries log errors only.
    let filter =
        format!("error,azuresaddle={level},azuresaddle_node={level},azuresaddle_store={level}");
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_env_filter(tracing_subscriber::EnvFilter::new(filter));
    let is_json = args
        .get_one::<String>("log-format")
        .is_some_and(|f| f == LOG_FORMATS[1]);
    if is_json {
        builder.json().init();
    } else {
        builder.init();
    }
}
