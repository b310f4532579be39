//! `burn`: error-budget burn by client account and rule.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context, Result};
use azuresaddle_core::burn::{BurnCounts, BurnRow, Counts, WINDOW_MINUTES};
use azuresaddle_core::prelude::*;
use azuresaddle_edge::BURN_PATH;
use azuresaddle_node::traffic::BurnReply;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::admin::{self, AdminClient};
use super::burn_plot;
use super::output;
use super::runtime::client_runtime;

pub(crate) fn make_subcommand() -> Command {
    Command::new("burn")
        .about("Reports how fast client accounts spend their error budgets")
        .arg(
            Arg::new("objective")
                .long("objective")
                .value_name("PERCENT")
                .value_parser(value_parser!(f64))
                .default_value("95")
                .help("Share of the requests that must meet each objective, in percent"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the merged counts as JSON"),
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of a node on the platform; may be given several times"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write an SVG plot of the burn by account and rule"),
        )
        .args(admin::args())
}

/// A service-level objective that each request meets or misses.
#[derive(Clone, Copy)]
pub(super) enum Objective {
    FirstToken,
    Deadline,
    Answered,
}

impl Objective {
    pub(super) const ALL: [Self; 3] = [Self::FirstToken, Self::Deadline, Self::Answered];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::FirstToken => "first token",
            Self::Deadline => "deadline",
            Self::Answered => "answered",
        }
    }

    fn misses(self, counts: &Counts) -> u64 {
        match self {
            Self::FirstToken => counts.first_token_missed,
            Self::Deadline => counts.deadline_missed,
            Self::Answered => counts.unanswered,
        }
    }

    /// Burn rate: how fast the error budget is spent, relative to the rate that the objective allows. `budget` is the
    /// allowed share of misses.
    pub(super) fn burn(self, counts: &Counts, budget: f64) -> f64 {
        if counts.requests == 0 {
            return 0.0;
        }
        self.misses(counts) as f64 / counts.requests as f64 / budget
    }
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let percent: f64 = *args.get_one("objective").expect("has a default");
    if !(percent > 0.0 && percent < 100.0) {
        let detail = format!("--objective {percent}: must be above 0 and below 100");
        return Err(super::BadInput(detail).into());
    }
    let budget = 1.0 - percent / 100.0;
    let reply = client_runtime()?.block_on(fetch_counts(args))?;
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        let svg = burn_plot::draw(&reply.counts.rows, budget)?;
        std::fs::write(path, svg).with_context(|| format!("--plot {}", path.display()))?;
    }
    if args.get_flag("json") {
        return output::print_json(&reply);
    }
    print_table(&reply, budget);
    Ok(())
}

/// Merges the counts of the platform nodes given by `--node`; without the flag, gets them from the admin interface.
async fn fetch_counts(args: &ArgMatches) -> Result<BurnReply> {
    let Some(nodes) = args.get_many::<SocketAddr>("node") else {
        return AdminClient::new(args).get("/admin/v1/burn").await;
    };
    let mut counts = BurnCounts::default();
    let mut missing = Vec::new();
    for node in nodes {
        match AdminClient::without_token(*node).get(BURN_PATH).await {
            Ok(node_counts) => counts.merge(node_counts),
            Err(e) => {
                tracing::warn!(part = "burn", %node, error = %e, "node did not answer");
                missing.push(HostName::new(node.to_string()));
            }
        }
    }
    Ok(BurnReply { counts, missing })
}

fn print_table(reply: &BurnReply, budget: f64) {
    let mut header = format!("{:<14} {:<16} {:<12}", "account", "rule", "objective");
    for minutes in WINDOW_MINUTES {
        header.push_str(&format!(" {:>9}", format!("{minutes} min")));
    }
    header.push_str(&format!(" {:>9} {:>9}", "requests", "p95 ms"));
    output::print_line(header);
    for row in &reply.counts.rows {
        for objective in Objective::ALL {
            output::print_line(table_line(row, objective, budget));
        }
    }
    output::print_line(
        "burn: 1.00 spends the error budget exactly as fast as the objective allows",
    );
    for node in &reply.missing {
        output::print_line(format!(
            "node {node} did not answer; its requests are missing"
        ));
    }
}

fn table_line(row: &BurnRow, objective: Objective, budget: f64) -> String {
    let rule = rule_name(row);
    let account = row.account.as_str();
    let mut line = format!("{account:<14} {rule:<16} {:<12}", objective.name());
    for counts in &row.windows {
        line.push_str(&format!(" {:>9.2}", objective.burn(counts, budget)));
    }
    let requests = row.windows.last().map_or(0, |counts| counts.requests);
    let p95 = row.histogram().value_at_quantile(0.95);
    line.push_str(&format!(" {requests:>9} {p95:>9}"));
    line
}

/// Name of a row's rule (or, on the platform, route).
pub(super) fn rule_name(row: &BurnRow) -> &str {
    match row.rule.as_str() {
        "" => "(default)",
        rule => rule,
    }
}
