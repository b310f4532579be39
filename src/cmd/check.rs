//! `check-settings` and `check-config`: check a file without starting a node; errors name the field.

use std::path::PathBuf;

use anyhow::{Context, Result, anyhow};
use azuresaddle_platform::{decode_configuration, read_settings};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::output::print_line;

fn file_arg(help: &'static str) -> Arg {
    Arg::new("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn file_path(args: &ArgMatches) -> &PathBuf {
    args.get_one("FILE").expect("clap requires it")
}

pub(crate) fn make_settings_subcommand() -> Command {
    Command::new("check-settings")
        .about("Checks a settings file of the platform and prints what a node would use")
        .arg(file_arg("Settings file"))
}

pub(crate) fn execute_settings(args: &ArgMatches) -> Result<()> {
    let settings = read_settings(file_path(args)).map_err(|e| anyhow!(e))?;
    print_line(format!(
        "host {}, failure domain {}",
        settings.name, settings.domain
    ));
    print_line(format!("callers {}", settings.listen.callers));
    print_line(format!("directory {}", settings.listen.directory));
    print_line(format!("store {}", settings.store));
    print_line(format!(
        "stop grace period {:?}",
        settings.bounds.stop_grace
    ));
    Ok(())
}

pub(crate) fn make_config_subcommand() -> Command {
    Command::new("check-config")
        .about("Checks a configuration of the operator and prints a summary")
        .arg(file_arg("Configuration, as JSON"))
}

pub(crate) fn execute_config(args: &ArgMatches) -> Result<()> {
    let path = file_path(args);
    let json = std::fs::read(path).with_context(|| path.display().to_string())?;
    let configuration = decode_configuration(&json).map_err(|e| anyhow!(e))?;
    print_line(format!(
        "version {}, {} routes, {} services",
        configuration.version,
        configuration.route_count(),
        configuration.services().count()
    ));
    Ok(())
}
