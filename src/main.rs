//! The command-line program `azuresaddle`.

mod cmd;

use std::process::ExitCode;

use clap::Command;

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Exit code of a command with invalid input.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let args = make_command().get_matches();
    let result = match args.subcommand() {
        Some(("node", args)) => cmd::node::execute(args),
        Some(("rules", args)) => cmd::rules::execute(args),
        Some(("hosts", args)) => cmd::hosts::execute(args),
        Some(("pools", args)) => cmd::pools::execute(args),
        Some(("quarantine", args)) => cmd::quarantine::execute(args),
        Some(("burn", args)) => cmd::burn::execute(args),
        Some(("ask", args)) => cmd::ask::execute(args),
        Some(("serve", args)) => cmd::serve::execute(args),
        Some(("losses", args)) => cmd::losses::execute(args),
        Some(("targets", args)) => cmd::targets::execute(args),
        Some(("trace", args)) => cmd::trace::execute(args),
        Some(("check-settings", args)) => cmd::check::execute_settings(args),
        Some(("check-config", args)) => cmd::check::execute_config(args),
        _ => unreachable!("clap requires a subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("azuresaddle: {e:#}");
            if e.is::<cmd::BadInput>() {
                ExitCode::from(EXIT_BAD_INPUT)
            } else {
                ExitCode::from(EXIT_FAILED)
            }
        }
    }
}

fn make_command() -> Command {
    Command::new("azuresaddle")
        .about("Serving layer for prompts of very different lengths")
        .after_help("Exit codes: 0 success, 1 failure, 2 invalid input.")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::ask::make_subcommand())
        .subcommand(cmd::burn::make_subcommand())
        .subcommand(cmd::hosts::make_subcommand())
        .subcommand(cmd::losses::make_subcommand())
        .subcommand(cmd::node::make_subcommand())
        .subcommand(cmd::pools::make_subcommand())
        .subcommand(cmd::quarantine::make_subcommand())
        .subcommand(cmd::rules::make_subcommand())
        .subcommand(cmd::serve::make_subcommand())
        .subcommand(cmd::targets::make_subcommand())
        .subcommand(cmd::trace::make_subcommand())
        .subcommand(cmd::check::make_settings_subcommand())
        .subcommand(cmd::check::make_config_subcommand())
}
