//! `store`: runs the stand-in of the key-value service.

use anyhow::{Context, Result};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::store::StoreServer;
use clap::{ArgMatches, Command};

use super::args::{get, listen, print_line, runtime, wait_for_shutdown};

pub(crate) fn make_subcommand() -> Command {
    Command::new("store")
        .about("Stands in for the key-value service; PUT /faults sets the active faults")
        .arg(listen("127.0.0.1:7100"))
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let addr = get(args, "listen");
    runtime()?.block_on(async {
        let store = StoreServer::bind(&TcpNetwork, addr, &Spawner::current())
            .await
            .with_context(|| format!("--listen {addr}"))?;
        print_line(&format!("store on {}", store.addr()));
        wait_for_shutdown().await
    })
}
