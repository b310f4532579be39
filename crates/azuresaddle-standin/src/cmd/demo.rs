//! `demo`: runs the whole system in one process.

use anyhow::{Result, ensure};
use azuresaddle_standin::demo::run_demo;
use azuresaddle_standin::platform::run_platform_demo;
use clap::{ArgMatches, Command};

use super::args::{get, print_line, runtime, seed};

pub(crate) fn make_subcommand() -> Command {
    Command::new("demo")
        .about("Runs the whole system in one process on loopback and reports first-token times")
        .arg(seed())
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    print_line("on the platform: a store, six engines, three nodes; prompts of 1k to 600k tokens");
    let platform = runtime()?.block_on(run_platform_demo())?;
    print_line(&format!(
        "{} whole, {} without a whole answer; whole short answers, p95: {} ms alone, {} ms beside \
         long prompts\n",
        platform.whole, platform.failed, platform.alone_p95_ms, platform.mixed_p95_ms
    ));
    let result = runtime()?.block_on(run_demo(get(args, "seed"), print_line))?;
    print_line("\nshort prompts alone");
    print_line(&result.alone.to_string());
    print_line("\nshort prompts beside long ones");
    print_line(&result.mixed.to_string());
    let alone = result.alone.short_first_token_ms(95.0);
    let mixed = result.mixed.short_first_token_ms(95.0);
    let ratio = mixed as f64 / alone.max(1) as f64;
    print_line(&format!(
        "\nfirst token of short prompts, p95: {alone} ms alone, {mixed} ms beside long ones \
         (ratio {ratio:.2})"
    ));
    ensure!(result.is_sound(), "an answer was lost, crossed or doubled");
    ensure!(
        platform.failed == 0,
        "an answer on the platform was not whole"
    );
    Ok(())
}
