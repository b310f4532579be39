//! The grammar of the scenario language.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn command_named(name: &'static str) -> Command {
    Command::new(name)
}

fn text(name: &'static str) -> Arg {
    Arg::new(name).required(true)
}

fn option(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    option(name, default).value_parser(value_parser!(u64))
}

fn duration(name: &'static str, default: &'static str) -> Arg {
    option(name, default).value_parser(parse_duration)
}

fn flag(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue)
}

fn request(command: Command) -> Command {
    command
        .arg(text("id"))
        .arg(option("account", "a"))
        .arg(duration("deadline", "30s"))
        .arg(Arg::new("key").long("key"))
        .arg(Arg::new("via").long("via"))
}

/// The grammar of one line.
pub(super) fn line_grammar() -> Command {
    Command::new("scenario")
        .multicall(true)
        .subcommand_required(true)
        .subcommand(
            command_named("start")
                .arg(number("nodes", "3"))
                .arg(number("engines", "2"))
                .arg(number("services", "1"))
                .arg(number("memory", "400000"))
                .arg(number("domains", "1"))
                .arg(duration("list-lag", "0s"))
                .arg(flag("ignore-fencing")),
        )
        .subcommand(
            request(command_named("send"))
                .arg(number("tokens", "2000"))
                .arg(number("max-tokens", "64"))
                .arg(flag("once")),
        )
        .subcommand(request(command_named("call")))
        .subcommand(command_named("advance").arg(text("time").value_parser(parse_duration)))
        .subcommand(command_named("kill").arg(text("host")))
        .subcommand(command_named("restart").arg(text("host")))
        .subcommand(command_named("freeze").arg(text("host")))
        .subcommand(command_named("thaw").arg(text("host")))
        .subcommand(command_named("cut").arg(text("one")).arg(text("other")))
        .subcommand(command_named("heal").arg(text("one")).arg(text("other")))
        .subcommand(command_named("silence").arg(text("one")).arg(text("other")))
        .subcommand(
            command_named("store")
                .arg(text("state").value_parser([
                    "up",
                    "down",
                    "slow",
                    "lose-answers",
                    "lose-renewals",
                ]))
                .arg(number("count", "1"))
                .arg(duration("delay", "500ms")),
        )
        .subcommand(command_named("fault").arg(text("host")).arg(text("json")))
        .subcommand(
            command_named("plan-stop")
                .arg(text("host"))
                .arg(Arg::new("via").long("via")),
        )
        .subcommand(
            command_named("cancel-stop")
                .arg(text("host"))
                .arg(Arg::new("via").long("via")),
        )
        .subcommand(
            command_named("leaving")
                .arg(text("host"))
                .arg(option("value", "true")),
        )
        .subcommand(
            command_named("put-rules")
                .arg(text("json"))
                .arg(number("base", "0"))
                .arg(Arg::new("via").long("via")),
        )
        .subcommand(
            command_named("race-rules")
                .arg(number("operators", "2"))
                .arg(number("base", "0")),
        )
        .subcommand(
            command_named("expect")
                .arg(text("what"))
                .arg(Arg::new("args").num_args(0..)),
        )
        .subcommand(command_named("wait").arg(text("id")))
        .subcommand(command_named("hang-up").arg(text("id")))
        .subcommand(command_named("kill-owner"))
        .subcommand(command_named("freeze-owner"))
}

/// Parses one line; comments and empty lines give `None`.
pub(super) fn parse(line: &str) -> Option<ArgMatches> {
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return None;
    }
    let words = shlex::split(line).unwrap_or_else(|| panic!("bad quotes: {line}"));
    let parsed = line_grammar().try_get_matches_from(words);
    Some(parsed.unwrap_or_else(|e| panic!("{line}: {e}")))
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => match text.strip_suffix('m') {
            Some(number) => (number, 60.0),
            None => (
                text.strip_suffix('s').ok_or("a time ends in ms, s or m")?,
                1.0,
            ),
        },
    };
    let number: f64 = number.parse().map_err(|_| "a time begins with a number")?;
    Ok(saturating_seconds(number * unit))
}
