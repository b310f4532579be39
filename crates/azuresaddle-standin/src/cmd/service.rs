//! `service`: runs the stand-in of a plain service.

use anyhow::{Context, Result};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::service::ServiceServer;
use clap::{ArgMatches, Command};

use super::args::{get, listen, print_line, runtime, wait_for_shutdown};

pub(crate) fn make_subcommand() -> Command {
    Command::new("service")
        .about("Stands in for a plain service; GET /counts lists executions by request body")
        .arg(listen("127.0.0.1:0"))
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let addr = get(args, "listen");
    runtime()?.block_on(async {
        let service = ServiceServer::bind(&TcpNetwork, addr, &Spawner::current())
            .await
            .with_context(|| format!("--listen {addr}"))?;
        print_line(&format!("service on {}", service.addr()));
        wait_for_shutdown().await
    })
}
