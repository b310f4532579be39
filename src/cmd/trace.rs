//! `trace`: one request's life out of the logs of several nodes.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};

use super::output::line;

/// Fields that begin a line; the others follow in the order of their names.
const FIRST_FIELDS: [&str; 4] = ["timestamp", "level", "part", "message"];

pub(crate) fn make_subcommand() -> Command {
    Command::new("trace")
        .about("Prints what the logs of several nodes say of one request, in order")
        .arg(
            Arg::new("REQUEST-ID")
                .required(true)
                .help("Id of the request, as the caller sent it"),
        )
        .arg(
            Arg::new("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log of a node, one JSON object a line"),
        )
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let id: &String = args.get_one("REQUEST-ID").expect("clap requires it");
    let files = args.get_many::<PathBuf>("FILE").expect("clap requires it");
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        let name = file.file_stem().map(|s| s.to_string_lossy().into_owned());
        let name = name.unwrap_or_default();
        lines.extend(text.lines().filter_map(|text| matching(text, id, &name)));
    }
    if lines.is_empty() {
        bail!("no line names the request {id:?}");
    }
    lines.sort();
    for (_, text) in lines {
        line(text);
    }
    Ok(())
}

/// Time and text of a line that names the request; lines that are no JSON are passed over.
fn matching(text: &str, id: &str, node: &str) -> Option<(String, String)> {
    let start = text.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    if fields.get("request")?.as_str()? != id {
        return None;
    }
    let field = |name: &str| fields.get(name).map(plain).unwrap_or_default();
    let (at, part, message) = (field("timestamp"), field("part"), field("message"));
    let mut out = format!("{at} {node} {part}: {message}");
    for (name, value) in &fields {
        if name != "request" && !FIRST_FIELDS.contains(&name.as_str()) {
            out.push_str(&format!(" {name}={}", plain(value)));
        }
    }
    Some((at, out))
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
