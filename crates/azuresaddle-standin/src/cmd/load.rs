//! `load`: runs the load generator against running nodes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::load::{LoadPlan, LoadSummary, RequestProfile, run_load};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::{get, print_line, runtime, seed};

pub(crate) fn make_subcommand() -> Command {
    Command::new("load")
        .about("Sends requests of widely varying lengths, verifies every token and reports times")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .required(true)
                .help("Address at which a node accepts callers; may be given several times"),
        )
        .arg(text("model", "m", "Model to request"))
        .arg(float(
            "short-rate",
            "8",
            "Short prompts (1k to 4k tokens) per second",
        ))
        .arg(float(
            "long-rate",
            "0.5",
            "Long prompts (20k to 350k tokens) per second",
        ))
        .arg(float(
            "huge-rate",
            "0.05",
            "Huge prompts (800k to 1M tokens) per second",
        ))
        .arg(float(
            "seconds",
            "20",
            "Time during which requests are sent, in seconds",
        ))
        .arg(float(
            "deadline-seconds",
            "60",
            "Time until the deadline of each request, in seconds",
        ))
        .arg(seed())
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TEXT")
        .default_value(default)
        .help(help)
}

fn float(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(f64))
        .default_value(default)
        .help(help)
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let nodes: Vec<SocketAddr> = args
        .get_many("node")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let profiles = [
        ("sabarmati", "short-rate", 1_000, 4_000),
        ("aguaclara", "long-rate", 20_000, 350_000),
        ("aguaclara", "huge-rate", 800_000, 1_000_000),
    ];
    let profile = |(account, rate, min_tokens, max_tokens)| RequestProfile {
        account: ClientAccount::new(account),
        rate: get(args, rate),
        min_tokens,
        max_tokens,
        kind: String::new(),
        extra_request_at: None,
    };
    let seconds = |name: &str| Duration::from_secs_f64(get::<f64>(args, name).max(0.0));
    let plan = LoadPlan {
        model: Model::new(get::<String>(args, "model")),
        profiles: profiles
            .into_iter()
            .map(profile)
            .filter(|s| s.rate > 0.0)
            .collect(),
        duration: seconds("seconds"),
        answer_tokens: 64,
        deadline: seconds("deadline-seconds"),
        seed: get(args, "seed"),
    };
    let report: LoadSummary = runtime()?.block_on(async {
        let http = HttpClient::new(TcpNetwork, Spawner::current());
        run_load(&http, &nodes, &plan, |_| {}).await
    });
    print_line(&report.to_string());
    ensure!(report.is_sound(), "an answer was lost, crossed or doubled");
    Ok(())
}
