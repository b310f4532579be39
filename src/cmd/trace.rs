//! `trace`: log lines of several nodes about one attempt, or about all attempts of a request.

use anyhow::{Result, bail};
use clap::{Arg, ArgMatches, Command};
use serde_json::{Map, Value};

use super::log_files;
use super::output::print_line;

/// Fields left out of the `name=value` pairs: the level is not printed, the others are at the start of the line.
const LEADING_FIELDS: [&str; 4] = ["timestamp", "level", "part", "message"];

pub(crate) fn make_subcommand() -> Command {
    Command::new("trace")
        .about("Prints the log lines of several nodes about one request, in order of time")
        .arg(Arg::new("REQUEST-ID").required(true).help(
            "Id of one attempt, as sent by the caller, or the fingerprint shared by all attempts",
        ))
        .arg(log_files::arg())
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let id: &String = args.get_one("REQUEST-ID").expect("clap requires it");
    let mut lines = Vec::new();
    for log in log_files::read(args)? {
        let name = log
            .path
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned());
        let name = name.unwrap_or_default();
        let text = log.text.lines();
        lines.extend(text.filter_map(|text| format_if_matching(text, id, &name)));
    }
    if lines.is_empty() {
        bail!("no log line contains the request {id:?}");
    }
    lines.sort();
    for (_, text) in lines {
        print_line(text);
    }
    Ok(())
}

/// Returns the timestamp and the formatted text of a line about the request; `None` for other lines and for lines that
/// are not JSON.
fn format_if_matching(text: &str, id: &str, node: &str) -> Option<(String, String)> {
    let start = text.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let has_id = |field: &str| fields.get(field).and_then(Value::as_str) == Some(id);
    if !has_id("request") && !has_id("fingerprint") {
        return None;
    }
    let field = |name: &str| fields.get(name).map(format_value).unwrap_or_default();
    let (at, part, message) = (field("timestamp"), field("part"), field("message"));
    let mut out = format!("{at} {node} {part}: {message}");
    for (name, value) in &fields {
        if value.as_str() != Some(id) && !LEADING_FIELDS.contains(&name.as_str()) {
            out.push_str(&format!(" {name}={}", format_value(value)));
        }
    }
    Some((at, out))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
