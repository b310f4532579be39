//! Log files given as arguments.

use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// A log file and its content.
pub(crate) struct LogFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

pub(crate) fn arg() -> Arg {
    Arg::new("FILE")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Log file of a node, with one JSON object per line")
}

/// Reads all given files.
///
/// # Errors
/// If a file can't be read; the error contains its path.
pub(crate) fn read(args: &ArgMatches) -> Result<Vec<LogFile>> {
    let paths = args.get_many::<PathBuf>("FILE").expect("clap requires it");
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let path = path.clone();
        Ok(LogFile { path, text })
    };
    paths.map(read).collect()
}
