//! Settings of `node`, from flags and environment variables.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, Result};
use azuresaddle_core::bounded_time::MAX_DURATION;
use azuresaddle_node::Settings;
use azuresaddle_node::settings::NodeAddrs;
use clap::parser::ValueSource;
use clap::{Arg, ArgMatches};

use super::{BadInput, output};

/// A flag of `node`. Its environment variable is `AZURESADDLE_` and the flag's name in capitals.
struct Flag {
    name: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const fn flag(
    name: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Flag {
    Flag {
        name,
        value_name,
        default,
        help,
    }
}

/// All flags, in the order of the help text.
const FLAGS: [Flag; 19] = [
    flag(
        "name",
        "HOST",
        None,
        "Name of this host, as in the host list (required)",
    ),
    flag(
        "domain",
        "DOMAIN",
        None,
        "Failure domain of this host (required)",
    ),
    flag(
        "listen",
        "ADDR",
        Some("127.0.0.1:7000"),
        "Address for callers",
    ),
    flag(
        "peer-listen",
        "ADDR",
        Some("127.0.0.1:7001"),
        "Address for other nodes",
    ),
    flag(
        "admin-listen",
        "ADDR",
        Some("127.0.0.1:7002"),
        "Address for operators",
    ),
    flag(
        "admin-token",
        "TOKEN",
        None,
        "Bearer token of operators; required if admin-listen is not a loopback address",
    ),
    flag(
        "store",
        "ADDR",
        Some("127.0.0.1:7100"),
        "Address of the key-value service",
    ),
    flag(
        "host-list",
        "ADDR",
        Some("127.0.0.1:7101"),
        "Address of the host list",
    ),
    flag(
        "metrics",
        "ADDR",
        None,
        "Address to which metrics are sent over UDP; off by default",
    ),
    flag(
        "max-body-bytes",
        "BYTES",
        Some("16777216"),
        "Maximum size of a request body, in bytes",
    ),
    flag(
        "max-buffered-bytes",
        "BYTES",
        Some("536870912"),
        "Maximum total size of buffered bodies, in bytes",
    ),
    flag(
        "max-connections",
        "N",
        Some("4096"),
        "Maximum number of concurrent connections of callers",
    ),
    flag(
        "body-timeout-ms",
        "MS",
        Some("10000"),
        "Time limit for receiving a request head or body, in milliseconds",
    ),
    flag(
        "address-ttl-ms",
        "MS",
        Some("5000"),
        "How long callers may cache addresses, in milliseconds",
    ),
    flag(
        "lease-ttl-ms",
        "MS",
        Some("6000"),
        "Time to live of the lease in the store, in milliseconds",
    ),
    flag(
        "store-timeout-ms",
        "MS",
        Some("1000"),
        "Timeout of calls to the store, in milliseconds",
    ),
    flag(
        "target-timeout-ms",
        "MS",
        Some("3000"),
        "Silence of a target after which its connection counts as broken, in milliseconds",
    ),
    flag(
        "initial-prefill-rate",
        "TOKENS",
        Some("40000"),
        "Prefill rate assumed for an engine until it is measured, in tokens per second",
    ),
    flag(
        "traffic-threads",
        "N",
        Some("4"),
        "Number of threads for traffic, in addition to one thread for control",
    ),
];

/// The flags as clap arguments.
pub(super) fn args() -> impl Iterator<Item = Arg> {
    FLAGS.iter().map(|flag| {
        let arg = Arg::new(flag.name)
            .long(flag.name)
            .env(env_variable(flag.name))
            .hide_env_values(true)
            .value_name(flag.value_name)
            .help(flag.help);
        match flag.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    })
}

/// Number of threads for traffic.
pub(super) fn traffic_threads(args: &ArgMatches) -> Result<usize> {
    let threads: usize = parse(args, "traffic-threads", "must be a number of at least 1")?;
    if threads == 0 {
        return Err(bad_value("traffic-threads", "0", "must be at least 1"));
    }
    Ok(threads)
}

/// Reads the settings of a node, without the checks of [`Settings::check`].
pub(super) fn read_settings(args: &ArgMatches) -> Result<Settings> {
    let addrs = NodeAddrs {
        listen: parse_addr(args, "listen")?,
        peer_listen: parse_addr(args, "peer-listen")?,
        admin_listen: parse_addr(args, "admin-listen")?,
        store: parse_addr(args, "store")?,
        host_list: parse_addr(args, "host-list")?,
    };
    let (name, domain) = (required(args, "name")?, required(args, "domain")?);
    let mut settings = Settings::new(name, domain, addrs);
    settings.admin_token = args.get_one::<String>("admin-token").cloned();
    if args.get_one::<String>("metrics").is_some() {
        settings.metrics = Some(parse_addr(args, "metrics")?);
    }
    settings.max_body_bytes = parse(args, "max-body-bytes", "must be a number of bytes")?;
    settings.max_buffered_bytes = parse(args, "max-buffered-bytes", "must be a number of bytes")?;
    settings.max_connections = parse(args, "max-connections", "must be a number")?;
    settings.body_timeout = parse_ms(args, "body-timeout-ms")?;
    settings.address_ttl = parse_ms(args, "address-ttl-ms")?;
    settings.lease_ttl = parse_ms(args, "lease-ttl-ms")?;
    settings.store_timeout = parse_ms(args, "store-timeout-ms")?;
    settings.target_timeout = parse_ms(args, "target-timeout-ms")?;
    settings.initial_prefill_rate = parse(
        args,
        "initial-prefill-rate",
        "must be a number of tokens per second",
    )?;
    Ok(settings)
}

fn required<'a>(args: &'a ArgMatches, name: &'static str) -> Result<&'a str> {
    let value = args.get_one::<String>(name).map(String::as_str);
    value.filter(|v| !v.is_empty()).ok_or_else(|| {
        let detail = format!("--{name} or {} is required", env_variable(name));
        BadInput(detail).into()
    })
}

fn parse<T: FromStr>(args: &ArgMatches, name: &str, expected: &str) -> Result<T> {
    let value = args.get_one::<String>(name).expect("has a default");
    value.parse().map_err(|_| bad_value(name, value, expected))
}

fn parse_ms(args: &ArgMatches, name: &str) -> Result<Duration> {
    let ms: u64 = parse(args, name, "must be a number of milliseconds, at least 1")?;
    if ms == 0 {
        return Err(bad_value(name, "0", "must be at least 1"));
    }
    Ok(Duration::from_millis(ms).min(MAX_DURATION))
}

fn parse_addr(args: &ArgMatches, name: &str) -> Result<SocketAddr> {
    let value = args.get_one::<String>(name).context("no address")?;
    let hint = match value.rsplit_once(':') {
        Some((host, _)) if host.parse::<IpAddr>().is_err() && !host.starts_with('[') => {
            "must be an IP address and a port; host names are not resolved"
        }
        _ => "must be an IP address and a port, such as 10.0.0.1:7000",
    };
    value.parse().map_err(|_| bad_value(name, value, hint))
}

fn bad_value(name: &str, value: impl Display, expected: &str) -> anyhow::Error {
    BadInput(format!("--{name} {value}: {expected}")).into()
}

fn env_variable(name: &str) -> String {
    format!("AZURESADDLE_{}", name.replace('-', "_").to_uppercase())
}

/// Prints each setting with its source.
pub(super) fn print_settings(args: &ArgMatches) {
    for flag in &FLAGS {
        let value = match (flag.name, args.get_one::<String>(flag.name)) {
            (_, None) => "(off)",
            ("admin-token", Some(_)) => "(hidden)",
            (_, Some(value)) => value,
        };
        let source = match args.value_source(flag.name) {
            Some(ValueSource::CommandLine) => "flag",
            Some(ValueSource::EnvVariable) => "environment",
            Some(_) => "default",
            None => "unset",
        };
        output::print_line(format!("{:<22} {value:<24} {source}", flag.name));
    }
}
