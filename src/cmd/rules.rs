//! `rules`: checks, shows and changes the operators' rules.

use std::path::PathBuf;

use anyhow::{Context, Result};
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::{CheckReport, RequestFacts, RuleOutcome, RulesDocument, check};
use azuresaddle_node::traffic::{ExplainReply, PutRules};
use azuresaddle_store::RulesRecord;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use super::admin::{self, AdminClient};
use super::runtime::client_runtime;
use super::{BadInput, output};

pub(crate) fn make_subcommand() -> Command {
    Command::new("rules")
        .about("Checks, shows and changes the operators' rules")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a rules file without sending it")
                .arg(file_arg("FILE", "The rules, as JSON")),
        )
        .subcommand(
            Command::new("get")
                .about("Shows the rules in the store")
                .args(admin::args()),
        )
        .subcommand(
            Command::new("put")
                .about("Replaces the rules, if the base version is still the current one")
                .arg(file_arg("FILE", "The rules, as JSON"))
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .required(true)
                        .help("Version that the change is based on; 0 if there are no rules yet"),
                )
                .arg(
                    Arg::new("comment")
                        .long("comment")
                        .value_name("TEXT")
                        .default_value("")
                        .help("Description of the change, for the history"),
                )
                .args(admin::args()),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the latest changes")
                .args(admin::args()),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows which rule applies to a request, and why the others do not")
                .arg(file_arg("FILE", "The request's properties, as JSON"))
                .arg(
                    Arg::new("rules")
                        .long("rules")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Rules to use instead of the active ones"),
                )
                .args(admin::args()),
        )
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("check", args)) => execute_check(args),
        Some(("get", args)) => execute_get(args),
        Some(("put", args)) => execute_put(args),
        Some(("history", args)) => execute_history(args),
        Some(("explain", args)) => execute_explain(args),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn execute_check(args: &ArgMatches) -> Result<()> {
    let document: RulesDocument = read_file(args, "FILE")?;
    report_findings(&check(&document))?;
    output::print_line(format!("{} rules, no errors", document.rules.len()));
    Ok(())
}

fn execute_get(args: &ArgMatches) -> Result<()> {
    let record = client_runtime()?.block_on(fetch_rules(args))?;
    output::print_line(format!("version {}", record.version));
    output::print_json(&record.document)
}

fn execute_put(args: &ArgMatches) -> Result<()> {
    let document: RulesDocument = read_file(args, "FILE")?;
    report_findings(&check(&document))?;
    let put = PutRules {
        base: RulesVersion(*args.get_one("base").expect("is required")),
        comment: args
            .get_one::<String>("comment")
            .cloned()
            .unwrap_or_default(),
        document,
    };
    client_runtime()?.block_on(async {
        let client = AdminClient::new(args);
        let answer = client.call(Method::PUT, "/admin/v1/rules", &put).await?;
        match answer.status {
            StatusCode::CONFLICT => {
                let current: RulesRecord = answer.read()?;
                anyhow::bail!(
                    "the rules have version {}, not {}; nothing was changed",
                    current.version,
                    put.base
                )
            }
            StatusCode::UNPROCESSABLE_ENTITY => report_findings(&answer.read()?),
            _ => {
                let record: RulesRecord = answer.success()?;
                output::print_line(format!("version {} accepted", record.version));
                Ok(())
            }
        }
    })
}

fn execute_history(args: &ArgMatches) -> Result<()> {
    let record = client_runtime()?.block_on(fetch_rules(args))?;
    for change in record.history {
        output::print_line(format!(
            "version {:>6}  at {} ms  {}",
            change.version.0, change.at_unix_ms, change.comment
        ));
    }
    Ok(())
}

fn execute_explain(args: &ArgMatches) -> Result<()> {
    let facts: RequestFacts = read_file(args, "FILE")?;
    let rules = if args.contains_id("rules") && args.get_one::<PathBuf>("rules").is_some() {
        let document: RulesDocument = read_file(args, "rules")?;
        document.explain(&facts)
    } else {
        client_runtime()?.block_on(async {
            let client = AdminClient::new(args);
            let path = "/admin/v1/rules/explain";
            let reply: ExplainReply = client.call(Method::POST, path, &facts).await?.success()?;
            anyhow::Ok(reply.rules)
        })?
    };
    for explanation in rules {
        let outcome = match explanation.outcome {
            RuleOutcome::Matched => "decides".to_owned(),
            RuleOutcome::Mismatched(condition) => {
                format!(
                    "no: {}",
                    serde_json::to_string(&condition)?.trim_matches('"')
                )
            }
            RuleOutcome::NotReached => "not reached".to_owned(),
        };
        output::print_line(format!("{:<24} {outcome}", explanation.rule));
    }
    Ok(())
}

async fn fetch_rules(args: &ArgMatches) -> Result<RulesRecord> {
    AdminClient::new(args).get("/admin/v1/rules").await
}

/// Prints the findings.
///
/// # Errors
/// [`BadInput`] if one of the findings is an error.
fn report_findings(report: &CheckReport) -> Result<()> {
    for finding in &report.findings {
        output::print_line(finding.to_string());
    }
    if report.is_acceptable() {
        return Ok(());
    }
    Err(BadInput("the rules have errors".to_owned()).into())
}

fn read_file<T: DeserializeOwned>(args: &ArgMatches, name: &str) -> Result<T> {
    let path = args.get_one::<PathBuf>(name).expect("is required");
    let text = std::fs::read_to_string(path)
        .map_err(|e| BadInput(format!("{}: {e}", path.display())))
        .context("the file can't be read")?;
    serde_json::from_str(&text).map_err(|e| BadInput(format!("{}: {e}", path.display())).into())
}
