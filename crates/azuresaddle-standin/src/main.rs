//! Command line of the stand-ins.

#![allow(
    clippy::disallowed_methods,
    reason = "stand-ins compute with numbers of their own and with flags"
)]

mod cmd;

use std::process::ExitCode;

use clap::Command;

/// Exit code of a failed run.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args = make_command().get_matches();
    let result = match args.subcommand() {
        Some(("capacity", _)) => cmd::capacity::execute(),
        Some(("demo", args)) => cmd::demo::execute(args),
        Some(("engine", args)) => cmd::engine::execute(args),
        Some(("experiment", args)) => cmd::experiment::execute(args),
        Some(("hosts", args)) => cmd::hosts::execute(args),
        Some(("load", args)) => cmd::load::execute(args),
        Some(("passes", args)) => cmd::passes::execute(args),
        Some(("service", args)) => cmd::service::execute(args),
        Some(("soak", args)) => cmd::soak::execute(args),
        Some(("store", args)) => cmd::store::execute(args),
        _ => unreachable!("clap requires a subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("azuresaddle-standin: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn make_command() -> Command {
    Command::new("azuresaddle-standin")
        .about("Stands in for the platform and the targets of azuresaddle")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::capacity::make_subcommand())
        .subcommand(cmd::demo::make_subcommand())
        .subcommand(cmd::engine::make_subcommand())
        .subcommand(cmd::experiment::make_subcommand())
        .subcommand(cmd::hosts::make_subcommand())
        .subcommand(cmd::load::make_subcommand())
        .subcommand(cmd::passes::make_subcommand())
        .subcommand(cmd::service::make_subcommand())
        .subcommand(cmd::soak::make_subcommand())
        .subcommand(cmd::store::make_subcommand())
}
