//! `experiment`: compares placement policies.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use azuresaddle_standin::experiment::{
    Experiment, ExperimentRow, Mix, Policy, plot_first_tokens, run_experiment,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::args::print_line;

pub(crate) fn make_subcommand() -> Command {
    Command::new("experiment")
        .about("Measures policies side by side in virtual time")
        .arg(
            Arg::new("NAME")
                .required(true)
                .value_parser(|text: &str| text.parse::<Experiment>())
                .help("hol, ttft, fairness, gang or faults"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<Policy>())
                .help("A policy to run; may be given several times; all unless given"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .action(ArgAction::Append)
                .value_parser(value_parser!(u64))
                .help("A seed; may be given several times [default: 1 2 3]"),
        )
        .arg(
            Arg::new("mix")
                .long("mix")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Engines, accounts, lengths, load and faults, as JSON"),
        )
        .arg(
            Arg::new("print-mix")
                .long("print-mix")
                .action(ArgAction::SetTrue)
                .help("Print the mix as JSON, as a start for a file of one's own, and exit"),
        )
        .arg(super::args::plot(
            "Write an SVG plot of short prompts' first-token times (first seed)",
        ))
        .arg(super::args::json())
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    let mix = read_mix(args)?;
    if args.get_flag("print-mix") {
        print_line(&serde_json::to_string_pretty(&mix)?);
        return Ok(());
    }
    let experiment: Experiment = super::args::get(args, "NAME");
    let policies: Vec<Policy> = values(args, "policy").unwrap_or_else(|| Policy::ALL.to_vec());
    let seeds: Vec<u64> = values(args, "seed").unwrap_or_else(|| vec![1, 2, 3]);
    let rows = run_experiment(experiment, &mix, &policies, &seeds);
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        let first: Vec<_> = rows
            .iter()
            .filter(|r| r.seed == seeds[0])
            .cloned()
            .collect();
        std::fs::write(path, plot_first_tokens(&first)?)
            .with_context(|| format!("--plot {}", path.display()))?;
    }
    if args.get_flag("json") {
        print_line(&serde_json::to_string_pretty(&rows)?);
    } else {
        print_table(&rows);
    }
    Ok(())
}

fn read_mix(args: &ArgMatches) -> Result<Mix> {
    let Some(path) = args.get_one::<PathBuf>("mix") else {
        return Ok(Mix::default());
    };
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("--mix {}", path.display()))?;
    let mix: Mix = serde_json::from_str(&text).with_context(|| path.display().to_string())?;
    match mix.problem() {
        Some(problem) => bail!("{}: {problem}", path.display()),
        None => Ok(mix),
    }
}

fn values<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Option<Vec<T>> {
    Some(args.get_many::<T>(name)?.cloned().collect())
}

fn print_table(rows: &[ExperimentRow]) {
    let mut variant = "";
    for row in rows {
        if row.variant != variant {
            variant = &row.variant;
            print_line(&format!("\n{variant}"));
            print_line(&format!(
                "{:<18} {:>4} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9} {:>7} {:>7} {:>6} {:>6}",
                "policy",
                "seed",
                "s.p50ms",
                "s.p95ms",
                "s.p99ms",
                "hol",
                "others95",
                "l.slow95",
                "worth/s",
                "400k+p95s",
                "refused",
                "missed",
                "failed",
                "wrong",
            ));
        }
        let wrong = row.lost + row.doubled + u64::from(row.memory_left > 0);
        print_line(&format!(
            "{:<18} {:>4} {:>8.1} {:>8.1} {:>8.1} {:>8.3} {:>9.1} {:>9.2} {:>8.2} {:>9.1} {:>7} {:>7} {:>6} {:>6}",
            row.policy,
            row.seed,
            row.short_ms[0],
            row.short_ms[1],
            row.short_ms[2],
            row.hol_ratio,
            row.others_short_p95_ms,
            row.long_slowdown_p95,
            row.worth_per_second,
            row.first_token_ms[3].1[1] / 1000.0,
            row.refused,
            row.missed,
            row.failed,
            wrong,
        ));
    }
    print_line(
        "\ns: prompts of up to 8192 tokens; l: longer ones; hol: s.p95 over s.p95 of the same short",
    );
    print_line(
        "prompts alone; l.slow95: first token over that on an empty engine; wrong: lost, doubled, leaks",
    );
}
