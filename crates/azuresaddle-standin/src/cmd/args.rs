//! Arguments and helpers shared by the subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Result;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use tokio::runtime::Runtime;

/// The `--listen` argument, an address.
pub(crate) fn listen(default: &'static str) -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value(default)
        .help("Address to listen on")
}

/// The `--seed` argument.
pub(crate) fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the random number generators")
}

/// The `--plot` argument, the file to write a plot to.
pub(crate) fn plot(help: &'static str) -> Arg {
    Arg::new("plot")
        .long("plot")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// The `--json` flag, which prints JSON instead of a table.
pub(crate) fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print the results as JSON")
}

/// Value of an argument that is required or has a default.
pub(crate) fn get<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name)
        .cloned()
        .expect("the argument has a default or is required")
}

/// Builds a multi-threaded Tokio runtime with I/O and timers.
pub(crate) fn runtime() -> Result<Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

/// Prints a line to standard output. Write errors, such as a closed pipe, are ignored so that the
/// process goes on.
pub(crate) fn print_line(line: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Waits for Ctrl-C.
pub(crate) async fn wait_for_shutdown() -> Result<()> {
    tokio::signal::ctrl_c().await?;
    Ok(())
}
