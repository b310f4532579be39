//! `losses`: reasons why requests lost worth, from the logs of all nodes.

use std::collections::HashMap;

use anyhow::{Result, bail};
use azuresaddle_core::losses::{LossReport, Reason, ReasonTotals, SecondTotals};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::log_files;
use super::output::print_line;

pub(crate) fn make_subcommand() -> Command {
    Command::new("losses")
        .about("Shows why requests were late, refused or lost, by route, second and size")
        .after_help(
            "Each attempt of a caller counts as a request. A request is worth 0.3 + 0.7 x (length of its \
             prompt / mean of its route), at most 4, times the worth of the route.",
        )
        .arg(log_files::arg())
        .arg(
            Arg::new("worth")
                .long("worth")
                .value_name("ROUTE=WORTH")
                .action(ArgAction::Append)
                .value_parser(parse_worth)
                .help("Worth of a request of a route [default: 1]"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .default_value("10")
                .help("Number of seconds to list, those with the greatest loss first"),
        )
}

fn parse_worth(text: &str) -> Result<(String, f64), String> {
    let (route, worth) = text.split_once('=').ok_or("expected ROUTE=WORTH")?;
    let worth: f64 = worth
        .parse()
        .map_err(|_| format!("{worth:?} is not a number"))?;
    if !(worth.is_finite() && worth >= 0.0) {
        return Err("the worth must be a number of at least 0".to_owned());
    }
    Ok((route.to_owned(), worth))
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let logs = log_files::read(args)?;
    let entries = args.get_many::<(String, f64)>("worth");
    let worth: HashMap<String, f64> = entries.into_iter().flatten().cloned().collect();
    let report = LossReport::new(logs.iter().flat_map(|log| log.text.lines()), |route| {
        worth.get(route).copied().unwrap_or(1.0)
    });
    if report.is_empty() {
        bail!("no log line is about a request with a route");
    }
    print_reasons(&report);
    print_sizes(&report);
    print_seconds(&report, *args.get_one("seconds").expect("it has a default"));
    Ok(())
}

fn print_reasons(report: &LossReport) {
    let rows = report.rows();
    let total: f64 = rows.iter().map(|r| r.worth).sum();
    print_line(format!("{} requests", report.len()));
    print_line(format!(
        "{:<14} {:<26} {:>7} {:>9} {:>7}",
        "route", "reason", "count", "worth", "share"
    ));
    for ReasonTotals {
        route,
        reason,
        count,
        worth,
    } in &rows
    {
        let share = worth / total;
        print_line(format!(
            "{route:<14} {reason:<26} {count:>7} {worth:>9.1} {share:>7.4}"
        ));
    }
    for reason in Reason::ALL {
        let same = rows.iter().filter(|r| r.reason == reason);
        let (count, worth) = same.fold((0, 0.0), |(n, w), r| (n + r.count, w + r.worth));
        if count > 0 {
            let share = worth / total;
            print_line(format!(
                "{:<14} {reason:<26} {count:>7} {worth:>9.1} {share:>7.4}",
                "all"
            ));
        }
    }
}

fn print_sizes(report: &LossReport) {
    print_line(format!(
        "\n{:<14} {:<14} {:>7} {:>8}",
        "route", "prompts", "count", "on time"
    ));
    for class in report.size_classes() {
        let share = class.on_time as f64 / class.count.max(1) as f64;
        print_line(format!(
            "{:<14} {:<14} {:>7} {share:>8.3}",
            class.route, class.size, class.count
        ));
    }
}

fn print_seconds(report: &LossReport, limit: usize) {
    let mut seconds = report.seconds();
    let lost = |s: &SecondTotals| s.lost.values().sum::<f64>();
    seconds.sort_by(|a, b| lost(b).total_cmp(&lost(a)));
    print_line(format!(
        "\n{:>7} {:>7} {:>9} {:>9}  lost most by",
        "second", "count", "worth", "lost"
    ));
    for second in seconds.iter().take(limit) {
        let mut reasons: Vec<(&Reason, &f64)> = second.lost.iter().collect();
        reasons.sort_by(|a, b| b.1.total_cmp(a.1));
        let top_reasons = reasons.iter().take(3).map(|(r, w)| format!("{r} {w:.1}"));
        let top_reasons: Vec<String> = top_reasons.collect();
        print_line(format!(
            "{:>7} {:>7} {:>9.1} {:>9.1}  {}",
            second.offset_s,
            second.count,
            second.worth,
            lost(second),
            top_reasons.join(", ")
        ));
    }
}
