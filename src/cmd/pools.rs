//! `pools`: lists the pools with their owners and queues.

use anyhow::Result;
use azuresaddle_node::traffic::PoolRow;
use clap::{ArgMatches, Command};

use super::admin::{self, AdminClient};
use super::output;
use super::runtime::client_runtime;

pub(crate) fn make_subcommand() -> Command {
    Command::new("pools")
        .about("Lists the pools with their owners and queues, as known to one node")
        .args(admin::args())
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let path = "/admin/v1/pools";
    let rows: Vec<PoolRow> =
        client_runtime()?.block_on(async { AdminClient::new(args).get(path).await })?;
    output::print_line(format!(
        "{:<28} {:<12} {:>6} {:>8} {:>8} {:>8} {:>12}",
        "pool", "owner", "epoch", "targets", "waiting", "running", "long wait ms"
    ));
    for row in rows {
        let owner = row.owner.as_ref().map_or("none", |owner| owner.as_str());
        let digest = row.digest.as_ref();
        output::print_line(format!(
            "{:<28} {owner:<12} {:>6} {:>8} {:>8} {:>8} {:>12}",
            row.pool,
            row.epoch.0,
            row.targets,
            digest.map_or(0, |d| d.waiting),
            digest.map_or(0, |d| d.running),
            digest.map_or(0, |d| d.long_wait.as_millis()),
        ));
    }
    Ok(())
}
