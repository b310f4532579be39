//! `hosts`: runs the stand-in of the host list.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use azuresaddle_core::host_list::{Host, HostKind};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::hosts::HostListServer;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::{get, listen, print_line, runtime, wait_for_shutdown};

pub(crate) fn make_subcommand() -> Command {
    Command::new("hosts")
        .about("Stands in for the host list")
        .arg(listen("127.0.0.1:7101"))
        .arg(host(
            "entry",
            "NAME,DOMAIN,ADDR,PEER_ADDR",
            "A host that runs a node",
        ))
        .arg(host(
            "engine",
            "NAME,DOMAIN,ADDR,MODEL,MEMORY_TOKENS",
            "A host that runs an engine",
        ))
        .arg(host(
            "service",
            "NAME,DOMAIN,ADDR,SERVICE",
            "A host that runs a plain service",
        ))
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1000")
                .help("Time after which a change becomes visible, in milliseconds"),
        )
}

fn host(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .action(ArgAction::Append)
        .help(format!("{help}; may be given several times"))
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let addr = get(args, "listen");
    let lag = Duration::from_millis(get(args, "lag-ms"));
    let mut hosts = Vec::new();
    for kind in ["entry", "engine", "service"] {
        for text in args.get_many::<String>(kind).into_iter().flatten() {
            let host = parse_host(kind, text).with_context(|| format!("--{kind} {text}"))?;
            hosts.push(host);
        }
    }
    runtime()?.block_on(async {
        let list = HostListServer::bind(&TcpNetwork, addr, &Spawner::current(), hosts, lag)
            .await
            .with_context(|| format!("--listen {addr}"))?;
        print_line(&format!("host list on {}", list.addr()));
        wait_for_shutdown().await
    })
}

fn parse_host(kind: &str, text: &str) -> Result<Host> {
    let fields: Vec<&str> = text.split(',').collect();
    let (common, kind) = match (kind, fields.as_slice()) {
        ("entry", [name, domain, addr, peer_addr]) => {
            let peer_addr = peer_addr.parse().context("PEER_ADDR is not IP:PORT")?;
            ([name, domain, addr], HostKind::Entry { peer_addr })
        }
        ("engine", [name, domain, addr, model, memory]) => {
            let kind = HostKind::Engine {
                model: Model::new(model),
                memory_tokens: memory.parse().context("MEMORY_TOKENS is not a number")?,
                checks_fencing: true,
            };
            ([name, domain, addr], kind)
        }
        ("service", [name, domain, addr, service]) => {
            let service = Model::new(service);
            ([name, domain, addr], HostKind::Service { service })
        }
        _ => bail!("wrong number of fields"),
    };
    let [name, domain, addr] = common;
    Ok(Host {
        name: HostName::new(name),
        domain: FailureDomain::new(domain),
        addr: addr.parse().context("ADDR is not IP:PORT")?,
        leaving: false,
        kind,
    })
}
