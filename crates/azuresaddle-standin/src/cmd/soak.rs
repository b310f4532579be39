//! `soak`: runs node processes, injects faults from outside, and checks the answers to callers.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, bail};
use azuresaddle_standin::platform::PlatformOptions;
use azuresaddle_standin::soak::{FaultOptions, FleetOptions, SoakOptions, run_soak};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::{get, print_line};

pub(crate) fn make_subcommand() -> Command {
    Command::new("soak")
        .about("Runs nodes as processes, injects faults, and checks what callers receive")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/azuresaddle")
                .help("Executable of the nodes"),
        )
        .arg(
            Arg::new("dir")
                .long("dir")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Directory for settings and logs, with a subdirectory for each seed"),
        )
        .arg(number("seed", "1", "First seed of callers and faults"))
        .arg(number("seeds", "1", "Number of consecutive seeds to run"))
        .arg(number(
            "seconds",
            "15",
            "Duration of the faults, in seconds",
        ))
        .arg(number(
            "callers",
            "12",
            "Number of callers that send requests without pause",
        ))
        .arg(
            Arg::new("restarts")
                .long("restarts")
                .action(ArgAction::SetTrue)
                .help("Also restart targets under their old names"),
        )
        .arg(
            Arg::new("store-returns")
                .long("store-returns")
                .action(ArgAction::SetTrue)
                .help("Also restore the store from older copies"),
        )
        .arg(
            Arg::new("signals")
                .long("signals")
                .action(ArgAction::SetTrue)
                .help("Also let targets limit their rate, drain, or ask to back off"),
        )
        .arg(
            Arg::new("crashers")
                .long("crashers")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of callers that keep sending a request that crashes its targets"),
        )
        .arg(
            Arg::new("part-crashers")
                .long("part-crashers")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of callers that send requests with a part in their prompts that crashes targets"),
        )
        .arg(
            Arg::new("stalled-readers")
                .long("stalled-readers")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of callers that stop reading their answer or sending their request"),
        )
        .arg(
            Arg::new("silent-targets")
                .long("silent-targets")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Also let this number of plain targets become silent at the same time"),
        )
        .arg(
            Arg::new("slow-readers")
                .long("slow-readers")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of callers that read long answers slowly"),
        )
        .arg(
            Arg::new("crowd")
                .long("crowd")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of callers whose long streams take up the engines"),
        )
        .arg(
            Arg::new("no-losses")
                .long("no-losses")
                .action(ArgAction::SetTrue)
                .help("Inject only faults that must not lose an answer: stops, targets that pause, configuration changes"),
        )
        .arg(
            Arg::new("overlap")
                .long("overlap")
                .action(ArgAction::SetTrue)
                .help("Inject only silences of sound targets, during which the configuration changes and nodes stop or reload"),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .action(ArgAction::SetTrue)
                .conflicts_with("overlap")
                .help("Also change the configuration, and check that each node follows each change in time"),
        )
        .arg(
            Arg::new("odd-entries")
                .long("odd-entries")
                .action(ArgAction::SetTrue)
                .help("Also let another writer leave odd entries among those of the targets"),
        )
        .arg(
            Arg::new("engines")
                .long("engines")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("4")
                .help("Number of engines"),
        )
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_name("N")
                .value_parser(value_parser!(u8).range(1..=60))
                .default_value("3")
                .help("Number of node processes"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..))
        .default_value(default)
        .help(help)
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let first: u64 = get(args, "seed");
    let seeds: u64 = get(args, "seeds");
    let dir: PathBuf = get(args, "dir");
    let mut failed_seeds = Vec::new();
    for seed in first..first + seeds {
        let options = SoakOptions {
            program: get(args, "program"),
            dir: dir.join(format!("seed-{seed}")),
            seed,
            callers: get(args, "callers"),
            length: Duration::from_secs(get(args, "seconds")),
            fleet: FleetOptions {
                nodes: get(args, "nodes"),
                platform: PlatformOptions {
                    engines: get::<u64>(args, "engines") as usize,
                    ..PlatformOptions::default()
                },
            },
            faults: FaultOptions {
                has_restarts: args.get_flag("restarts"),
                has_store_rollbacks: args.get_flag("store-returns"),
                has_signals: args.get_flag("signals"),
                silent_targets: get::<u64>(args, "silent-targets") as usize,
                loses_nothing: args.get_flag("no-losses"),
                overlaps: args.get_flag("overlap"),
                has_changes: args.get_flag("changes"),
                has_odd_entries: args.get_flag("odd-entries"),
            },
            crashers: get(args, "crashers"),
            part_crashers: get(args, "part-crashers"),
            stalled_readers: get(args, "stalled-readers"),
            slow_readers: get(args, "slow-readers"),
            crowd: get(args, "crowd"),
        };
        let report = runtime.block_on(run_soak(&options))?;
        print_line(report.to_string().trim_end());
        if !report.passed() {
            failed_seeds.push(seed);
        }
    }
    if !failed_seeds.is_empty() {
        bail!("checks failed for the seeds {failed_seeds:?}");
    }
    Ok(())
}
