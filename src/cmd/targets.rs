//! `targets`: plain targets that the fleet has ejected because they don't answer.

use std::net::SocketAddr;

use anyhow::Result;
use azuresaddle_edge::{EjectedTargetInfo, TARGETS_PATH};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::admin::AdminClient;
use super::output;
use super::runtime::client_runtime;

pub(crate) fn make_subcommand() -> Command {
    Command::new("targets")
        .about("Lists plain targets that nodes don't send to because they fail, with the evidence")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of any node on the platform"),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    client_runtime()?.block_on(list(args))
}

async fn list(args: &ArgMatches) -> Result<()> {
    let client = AdminClient::without_token(*args.get_one("node").expect("is required"));
    let all: Vec<EjectedTargetInfo> = client.get(TARGETS_PATH).await?;
    output::print_line(format!(
        "{:<24} {:<8} {:>9} {:>8} {:>5} {:>5} {:>6} {:<13} {:<4}",
        "target", "state", "for", "failures", "sends", "nodes", "probes", "ejected for", "used"
    ));
    for ejected in all {
        let evidence = ejected.evidence;
        output::print_line(format!(
            "{:<24} {:<8} {:>7.1} s {:>8} {:>5} {:>5} {:>6} {:<13} {:<4}",
            ejected.target.as_str(),
            state(&ejected),
            ejected.ejected_for_ms as f64 / 1000.0,
            evidence.failures,
            evidence.sends,
            evidence.nodes,
            ejected.failed_probes,
            evidence.scope.to_string(),
            if ejected.is_used_here { "yes" } else { "no" },
        ));
    }
    Ok(())
}

fn state(ejected: &EjectedTargetInfo) -> &'static str {
    if ejected.is_on_trial {
        "on trial"
    } else {
        "ejected"
    }
}
