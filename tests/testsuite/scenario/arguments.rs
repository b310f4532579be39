//! Reads the arguments of a command and formats results for the transcript.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_standin::cluster::ClusterSpec;
use azuresaddle_standin::engine::EngineOptions;
use azuresaddle_standin::load::CallerRequest;
use clap::ArgMatches;
use xxhash_rust::xxh3::xxh3_64;

use super::trace::RequestEnd;

/// The cluster that a `start` command describes.
pub(super) fn spec(args: &ArgMatches) -> ClusterSpec {
    let options = EngineOptions {
        memory_tokens: number(args, "memory"),
        checks_fencing: !args.get_flag("ignore-fencing"),
        ..EngineOptions::default()
    };
    let count = |name| number(args, name) as usize;
    let spec = ClusterSpec::uniform(
        count("nodes"),
        count("engines"),
        count("services"),
        &options,
    );
    ClusterSpec {
        host_list_lag: time(args, "list-lag"),
        ..spec.spread_over_domains(count("domains"))
    }
}

/// The request that a `send` command describes.
pub(super) fn caller_request(id: &str, args: &ArgMatches) -> CallerRequest {
    CallerRequest {
        model: Model::new("m"),
        prompt_tokens: number(args, "tokens"),
        seed: xxh3_64(id.as_bytes()),
        max_tokens: number(args, "max-tokens"),
        kind: String::new(),
        deadline: time(args, "deadline"),
        idempotent: !args.get_flag("once"),
        key: opt(args, "key"),
    }
}

/// Body of an operator's request to replace the rules document of version `base`.
pub(super) fn put_body(base: u64, rules: &str) -> String {
    format!(r#"{{"base": {base}, "document": {{"rules": {rules}}}}}"#)
}

/// Formats how a request ended.
pub(super) fn describe(end: &RequestEnd) -> String {
    match end {
        RequestEnd::Whole => "whole".to_owned(),
        RequestEnd::Failed {
            problem,
            verdict,
            retry_after,
        } => {
            let hint = if *retry_after {
                ", come back later"
            } else {
                ""
            };
            format!("failed: {problem} ({verdict}{hint})")
        }
        other => format!("{other:?}"),
    }
}

/// Formats the answer to an operator's request.
pub(super) fn describe_version(status: u16, version: Option<u64>) -> String {
    match version {
        Some(version) => format!("{status}, version {version}"),
        None => status.to_string(),
    }
}

/// An argument as text; empty if it is absent.
pub(super) fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

/// An optional argument as text.
pub(super) fn opt(args: &ArgMatches, name: &str) -> Option<String> {
    args.get_one::<String>(name).cloned()
}

/// A numeric argument that has a default.
pub(super) fn number(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("has a default")
}

/// A duration argument that is required or has a default.
pub(super) fn time(args: &ArgMatches, name: &str) -> Duration {
    *args.get_one(name).expect("has a value")
}
