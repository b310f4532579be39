//! `hosts`: lists hosts and plans their stops.

use anyhow::Result;
use azuresaddle_node::traffic::HostRow;
use azuresaddle_store::RulesRecord;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;

use super::admin::{self, AdminClient};
use super::output;
use super::runtime::client_runtime;

pub(crate) fn make_subcommand() -> Command {
    let host = Arg::new("HOST")
        .required(true)
        .help("Name of the host, as in the host list");
    Command::new("hosts")
        .about("Lists hosts and plans their stops")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists all hosts")
                .args(admin::args()),
        )
        .subcommand(
            Command::new("plan-stop")
                .about("Plans a graceful shutdown: from then on no new work starts, and running work finishes")
                .arg(host.clone())
                .arg(
                    Arg::new("at")
                        .long("at")
                        .value_name("UNIX_MS")
                        .value_parser(value_parser!(u64))
                        .default_value("0")
                        .help("Time of the stop, in milliseconds since the Unix epoch; 0 for immediately"),
                )
                .args(admin::args()),
        )
        .subcommand(
            Command::new("cancel-stop")
                .about("Cancels a planned stop")
                .arg(host)
                .args(admin::args()),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let runtime = client_runtime()?;
    match args.subcommand() {
        Some(("list", args)) => runtime.block_on(list(args)),
        Some(("plan-stop", args)) => {
            let at: u64 = *args.get_one("at").expect("has a default");
            let path = format!("{}?at-unix-ms={at}", stop_path(args));
            runtime.block_on(change_stop(args, Method::PUT, &path))
        }
        Some(("cancel-stop", args)) => {
            runtime.block_on(change_stop(args, Method::DELETE, &stop_path(args)))
        }
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn stop_path(args: &ArgMatches) -> String {
    let host = args.get_one::<String>("HOST").expect("is required");
    format!("/admin/v1/hosts/{host}/stop")
}

async fn list(args: &ArgMatches) -> Result<()> {
    let rows: Vec<HostRow> = AdminClient::new(args).get("/admin/v1/hosts").await?;
    output::print_line(format!(
        "{:<20} {:<12} {:<8} state",
        "host", "domain", "kind"
    ));
    for row in rows {
        let state = match (row.stopping, row.leaving) {
            (true, _) => "stopping",
            (false, true) => "leaving",
            (false, false) => "in use",
        };
        output::print_line(format!(
            "{:<20} {:<12} {:<8} {state}",
            row.host.as_str(),
            row.domain.as_str(),
            row.kind
        ));
    }
    Ok(())
}

async fn change_stop(args: &ArgMatches, method: Method, path: &str) -> Result<()> {
    let answer = AdminClient::new(args).call(method, path, &()).await?;
    let record: RulesRecord = answer.success()?;
    output::print_line(format!("version {} accepted", record.version));
    Ok(())
}
