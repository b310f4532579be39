//! `engine`: runs the stand-in of a model engine.

use std::time::Duration;

use anyhow::{Context, Result};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::engine::{EngineOptions, EngineServer};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::{get, listen, print_line, runtime, wait_for_shutdown};

pub(crate) fn make_subcommand() -> Command {
    Command::new("engine")
        .about("Stands in for a model engine; PUT /faults sets the active faults")
        .arg(listen("127.0.0.1:0"))
        .arg(number("memory-tokens", "400000", "Memory, in tokens"))
        .arg(number(
            "prefill-rate",
            "40000",
            "Prefill rate, in tokens per second",
        ))
        .arg(number(
            "decode-step-ms",
            "20",
            "Duration of a decode step with a single stream, in milliseconds",
        ))
        .arg(number(
            "cache-blocks",
            "256",
            "Capacity of the prefix cache, in blocks of 1024 tokens",
        ))
        .arg(number(
            "load-lag-ms",
            "500",
            "Delay of the load report, in milliseconds",
        ))
        .arg(number(
            "incarnation",
            "1",
            "Incarnation; must be higher after each restart",
        ))
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue)
                .help("Accept requests with an outdated fencing token"),
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
    let addr = get(args, "listen");
    let options = EngineOptions {
        memory_tokens: get(args, "memory-tokens"),
        prefill_rate: get::<u64>(args, "prefill-rate") as f64,
        decode_step: Duration::from_millis(get(args, "decode-step-ms")),
        cache_blocks: usize::try_from(get::<u64>(args, "cache-blocks"))?,
        load_lag: Duration::from_millis(get(args, "load-lag-ms")),
        checks_fencing: !args.get_flag("ignore-fencing"),
        ..EngineOptions::default()
    };
    let incarnation = Incarnation(get(args, "incarnation"));
    runtime()?.block_on(async {
        let spawner = Spawner::current();
        let engine = EngineServer::bind(&TcpNetwork, addr, &spawner, options, incarnation)
            .await
            .with_context(|| format!("--listen {addr}"))?;
        print_line(&format!("engine on {}", engine.addr()));
        wait_for_shutdown().await
    })
}
