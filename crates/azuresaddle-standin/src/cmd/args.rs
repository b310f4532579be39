//! Arguments that several subcommands share.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Result;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use tokio::runtime::Runtime;

/// The address to listen on.
pub(crate) fn listen(default: &'static str) -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value(default)
        .help("Address to listen on")
}

/// The seed.
pub(crate) fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of everything that is random")
}

/// Where to write a plot.
pub(crate) fn plot(help: &'static str) -> Arg {
    Arg::new("plot")
        .long("plot")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Whether to print JSON in place of a table.
pub(crate) fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print the figures as JSON")
}

/// A required or defaulted value.
pub(crate) fn get<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name)
        .cloned()
        .expect("the argument has a default or is required")
}

/// A runtime with all features.
pub(crate) fn runtime() -> Result<Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

/// Prints a line of results; a closed pipe ends the output, not the process.
pub(crate) fn print_line(line: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Serves until the process is told to stop.
pub(crate) async fn wait_for_shutdown() -> Result<()> {
    tokio::signal::ctrl_c().await?;
    Ok(())
}
