//! `passes`: compares placement policies for engines that work in passes.

use std::path::PathBuf;

use anyhow::{Context, Result};
use azuresaddle_standin::passes::{
    DayResults, DemandShape, Faults, PassPolicy, PoolLayout, Workload, simulate_day,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::print_line;

pub(crate) fn make_subcommand() -> Command {
    Command::new("passes")
        .about("Measures policies of placement on engines that work in passes, in virtual time")
        .arg(
            Arg::new("sheet")
                .long("sheet")
                .value_parser(Workload::NAMES)
                .default_value("sabarmati")
                .help("Kinds of requests and engines"),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .value_name("PART")
                .value_parser(value_parser!(f64))
                .default_value("0.82")
                .help("Part of the whole rate"),
        )
        .arg(
            Arg::new("shape")
                .long("shape")
                .value_name("SHAPE")
                .value_parser(|text: &str| text.parse::<DemandShape>())
                .help("How demand varies: phases, alternation, wave, spike or noise; that of the sheet unless given"),
        )
        .arg(
            Arg::new("trouble")
                .long("trouble")
                .value_name("TROUBLE")
                .action(ArgAction::Append)
                .value_parser(Faults::NAMES)
                .help("Something that goes wrong; may be given several times"),
        )
        .arg(
            Arg::new("placers")
                .long("placers")
                .value_name("PLACERS")
                .value_parser(|text: &str| text.parse::<PoolLayout>())
                .default_value("one")
                .help("Who places on which engines: one, domains or pools-N"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<PassPolicy>())
                .help("A policy to run; may be given several times; all unless given"),
        )
        .arg(
            Arg::new("days")
                .long("days")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("10")
                .help("Number of days, with the seeds 1 to N"),
        )
        .arg(super::args::plot(
            "Write an SVG plot of worth by policy and day",
        ))
        .arg(super::args::json())
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let load: f64 = super::args::get(args, "load");
    let name: String = super::args::get(args, "sheet");
    let mut workload = Workload::named(&name, load).expect("clap allows known names only");
    for fault in args.get_many::<String>("trouble").into_iter().flatten() {
        workload.faults.add(fault);
    }
    if let Some(shape) = args.get_one::<DemandShape>("shape") {
        workload.shape = *shape;
    }
    workload.pool_layout = super::args::get(args, "placers");
    let policies: Vec<PassPolicy> = args
        .get_many("policy")
        .map_or_else(|| PassPolicy::ALL.to_vec(), |all| all.copied().collect());
    let days: u64 = super::args::get(args, "days");
    let rows: Vec<Vec<DayResults>> = policies
        .iter()
        .map(|policy| {
            (1..=days)
                .map(|seed| simulate_day(&workload, *policy, seed))
                .collect()
        })
        .collect();
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        let svg = azuresaddle_standin::passes::plot_worth(&rows)?;
        std::fs::write(path, svg).with_context(|| format!("--plot {}", path.display()))?;
    }
    if args.get_flag("json") {
        print_line(&serde_json::to_string_pretty(&rows)?);
    } else {
        print_table(&rows);
    }
    Ok(())
}

fn print_table(rows: &[Vec<DayResults>]) {
    print_line(&format!(
        "{:<16} {:>6} {:>6} {:>7} {:>6} {:>6}   on time / served / largest tenth served / first event p50 p95, by kind",
        "policy", "worth", "day", "windows", "held", "waited",
    ));
    for days in rows {
        let Some(first) = days.first() else {
            continue;
        };
        let mean =
            |of: &dyn Fn(&DayResults) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
        let mut line = format!(
            "{:<16} {:>6.3} {:>6.3} {:>7.3} {:>6.3} {:>6.2}",
            first.policy,
            mean(&|d| d.worth),
            mean(&|d| d.day),
            mean(&|d| d.windows),
            mean(&|d| d.held),
            mean(&|d| d.refused_after_wait),
        );
        for k in 0..first.kinds.len() {
            let share = |n: &dyn Fn(&DayResults) -> usize| {
                let asked: usize = days.iter().map(|d| d.kinds[k].asked).sum();
                days.iter().map(n).sum::<usize>() as f64 / asked.max(1) as f64
            };
            line.push_str(&format!(
                "   {} {:.2}/{:.2}/{:.2}/{:.0} {:.0}",
                first.kinds[k].name,
                share(&|d| d.kinds[k].on_time),
                share(&|d| d.kinds[k].served),
                mean(&|d| d.kinds[k].largest_served),
                mean(&|d| d.kinds[k].first_event_ms[0]),
                mean(&|d| d.kinds[k].first_event_ms[1]),
            ));
        }
        print_line(&line);
    }
}
