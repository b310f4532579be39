//! `quarantine`: requests that are not sent to any target because they crash targets.

use std::net::SocketAddr;

use anyhow::{Result, bail};
use azuresaddle_core::prelude::*;
use azuresaddle_edge::{QUARANTINE_PATH, QuarantinedRequest};
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::{Method, StatusCode};

use super::admin::AdminClient;
use super::output;
use super::runtime::client_runtime;

pub(crate) fn make_subcommand() -> Command {
    let node = Arg::new("node")
        .long("node")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Metrics address of any node on the platform");
    Command::new("quarantine")
        .about("Lists requests that are not sent to any target, and ends a quarantine early")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists all requests in quarantine, as known to the node")
                .arg(node.clone()),
        )
        .subcommand(
            Command::new("end")
                .about("Ends the quarantine of a request on all nodes; new crashes start another")
                .arg(
                    Arg::new("FINGERPRINT")
                        .required(true)
                        .value_parser(value_parser!(Fingerprint))
                        .help("Fingerprint of the request, as in the list and the logs"),
                )
                .arg(node),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let runtime = client_runtime()?;
    match args.subcommand() {
        Some(("list", args)) => runtime.block_on(list(args)),
        Some(("end", args)) => runtime.block_on(end(args)),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn client(args: &ArgMatches) -> AdminClient {
    AdminClient::without_token(*args.get_one("node").expect("is required"))
}

async fn list(args: &ArgMatches) -> Result<()> {
    let all: Vec<QuarantinedRequest> = client(args).get(QUARANTINE_PATH).await?;
    output::print_line(format!(
        "{:<32} {:>13} {:>10}",
        "fingerprint", "targets ended", "left"
    ));
    for request in all {
        output::print_line(format!(
            "{:<32} {:>13} {:>8} s",
            request.fingerprint, request.targets_ended, request.left_s
        ));
    }
    Ok(())
}

async fn end(args: &ArgMatches) -> Result<()> {
    let fingerprint: Fingerprint = *args.get_one("FINGERPRINT").expect("is required");
    let path = format!("{QUARANTINE_PATH}/{fingerprint}");
    let answer = client(args).call(Method::DELETE, &path, &()).await?;
    match answer.status {
        status if status.is_success() => {
            output::print_line(format!("quarantine of {fingerprint} ended"));
            Ok(())
        }
        StatusCode::NOT_FOUND => {
            bail!("the node has recorded no crashes for request {fingerprint}")
        }
        status => bail!("the node answered with status {status}"),
    }
}
