//! The experiments, their variants and their result rows.

use std::str::FromStr;

use serde::Serialize;

use super::arrivals::generate_requests;
use super::mix::{AccountMix, Burst, Fault, FaultKind, Mix};
use super::policy::Policy;
use super::results::{MAX_SHORT_TOKENS, Results};
use super::simulation::simulate;

/// An experiment by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Head-of-line blocking: short prompts beside long ones against short ones alone, at 60, 85
    /// and 95 % load and in a burst of long prompts.
    Hol,
    /// Time to first token at the mix's load.
    Ttft,
    /// One client account floods the pool while others send at their usual rates.
    Fairness,
    /// Prompts that need several engines.
    Gang,
    /// Two engines die and one is slow.
    Faults,
}

impl Experiment {
    /// All experiments.
    pub const ALL: [Self; 5] = [
        Self::Hol,
        Self::Ttft,
        Self::Fairness,
        Self::Gang,
        Self::Faults,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hol => "hol",
            Self::Ttft => "ttft",
            Self::Fairness => "fairness",
            Self::Gang => "gang",
            Self::Faults => "faults",
        }
    }

    /// The variants of the mix that the experiment runs, by name.
    fn variants(self, mix: &Mix) -> Vec<(String, Mix)> {
        let at_load = |load: f64| {
            let name = format!("load {:.0} %", load * 100.0);
            (
                name,
                Mix {
                    load,
                    ..mix.clone()
                },
            )
        };
        match self {
            Self::Hol => {
                let burst = Some(Burst {
                    at_s: mix.duration_s / 2.0,
                    count: 20,
                    tokens: 200_000,
                });
                // The run covers only the time around the burst, so that it affects the percentiles.
                let duration_s = mix.duration_s.min(120.0);
                let burst = burst.map(|b| Burst {
                    at_s: duration_s / 2.0,
                    ..b
                });
                let bursty = Mix {
                    load: 0.85,
                    burst,
                    duration_s,
                    ..mix.clone()
                };
                let mut variants: Vec<_> = [0.60, 0.85, 0.95].into_iter().map(at_load).collect();
                variants.push(("burst".to_owned(), bursty));
                variants
            }
            Self::Ttft => vec![at_load(mix.load)],
            Self::Gang => {
                let mut mix = mix.clone();
                mix.lengths.one_in_fifty *= 1.5;
                vec![("more long prompts".to_owned(), mix)]
            }
            Self::Fairness => {
                let accounts: Vec<_> = (0..10).map(|i| account(i, 1.0)).collect();
                let calm = Mix {
                    accounts,
                    load: 0.7,
                    ..mix.clone()
                };
                let mut flood = calm.clone();
                // The tenth account alone offers 0.87 of the pool's capacity, the others 0.63.
                flood.accounts[9].share = 9.0 * (1.5 - 0.63) / 0.63;
                flood.load = 1.5;
                vec![("calm".to_owned(), calm), ("flood".to_owned(), flood)]
            }
            Self::Faults => {
                let third = mix.duration_s / 3.0;
                let fault = |engine, kind| Fault {
                    at_s: third,
                    engine,
                    kind,
                };
                let faults = vec![
                    fault(0, FaultKind::Die),
                    fault(1, FaultKind::Die),
                    fault(2, FaultKind::Slow(5.0)),
                ];
                vec![(
                    "two die, one slow".to_owned(),
                    Mix {
                        faults,
                        ..mix.clone()
                    },
                )]
            }
        }
    }
}

impl FromStr for Experiment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|e| e.name() == text);
        found.ok_or_else(|| "must be hol, ttft, fairness, gang or faults".to_owned())
    }
}

fn account(number: usize, share: f64) -> AccountMix {
    AccountMix {
        name: format!("a{number}"),
        share,
        ..AccountMix::default()
    }
}

/// Results of one policy with one variant of the mix.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExperimentRow {
    /// The variant.
    pub variant: String,
    /// The policy.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// First token of short prompts at p50, p95 and p99, in milliseconds.
    pub short_ms: [f64; 3],
    /// p95 of short prompts beside long ones over p95 of the same short prompts alone.
    pub hol_ratio: f64,
    /// First token by length class at p50, p95 and p99, in milliseconds.
    pub first_token_ms: Vec<(&'static str, [f64; 3])>,
    /// p95 of the time to first token of longer prompts over that on an empty engine.
    pub long_slowdown_p95: f64,
    /// Worth of completed requests per second.
    pub worth_per_second: f64,
    /// First token of short prompts of all accounts but the last at p95, in milliseconds.
    pub others_short_p95_ms: f64,
    /// Requests with a complete answer by the deadline.
    pub whole: u64,
    /// Refused before they ran.
    pub refused: u64,
    /// Refused requests with prompts of over 400,000 tokens.
    pub refused_huge: u64,
    /// Admitted, but not complete by the deadline.
    pub missed: u64,
    /// Failed on every target tried.
    pub failed: u64,
    /// Requests without an outcome at the end of the run.
    pub lost: u64,
    /// Requests with two complete answers.
    pub doubled: u64,
    /// Memory held at the end, in tokens.
    pub memory_left: u64,
    #[serde(skip)]
    results: Results,
}

impl ExperimentRow {
    /// The detailed results of the run.
    pub fn results(&self) -> &Results {
        &self.results
    }
}

/// Runs an experiment for each policy and seed. Runs are spread over threads.
pub fn run_experiment(
    experiment: Experiment,
    mix: &Mix,
    policies: &[Policy],
    seeds: &[u64],
) -> Vec<ExperimentRow> {
    let mut runs = Vec::new();
    for (variant, mix) in experiment.variants(mix) {
        for policy in policies {
            for seed in seeds {
                runs.push((variant.clone(), mix.clone(), *policy, *seed));
            }
        }
    }
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let mut rows = Vec::new();
    for batch in runs.chunks(threads) {
        std::thread::scope(|scope| {
            let handles: Vec<_> = batch
                .iter()
                .map(|(variant, mix, policy, seed)| {
                    scope.spawn(move || run_row(variant, mix, *policy, *seed))
                })
                .collect();
            let done = handles
                .into_iter()
                .map(|h| h.join().expect("a run does not panic"));
            rows.extend(done);
        });
    }
    rows
}

fn run_row(variant: &str, mix: &Mix, policy: Policy, seed: u64) -> ExperimentRow {
    let results = run_paused(mix, policy, seed);
    let mut short_mix = mix.clone();
    short_mix.lengths.keep_up_to = Some(MAX_SHORT_TOKENS);
    let alone = run_paused(&short_mix, policy, seed);
    let last = results.short_by_account.len() - 1;
    let mut others = results.short_by_account[0].clone();
    for histogram in &results.short_by_account[1..last.max(1)] {
        others
            .add(histogram)
            .expect("the histograms have equal bounds");
    }
    ExperimentRow {
        variant: variant.to_owned(),
        policy: policy.name(),
        seed,
        short_ms: percentiles(&results.classes[0].first_token_us),
        hol_ratio: results.short_p95_ms() / alone.short_p95_ms(),
        first_token_ms: results
            .classes
            .iter()
            .map(|c| (c.name, percentiles(&c.first_token_us)))
            .collect(),
        long_slowdown_p95: results.long_slowdown_p95(),
        worth_per_second: results.worth_per_second(),
        others_short_p95_ms: others.value_at_quantile(0.95) as f64 / 1000.0,
        whole: results.whole,
        refused: results.refused,
        refused_huge: results.classes[3].refused,
        missed: results.missed,
        failed: results.failed,
        lost: results.lost,
        doubled: results.doubled,
        memory_left: results.memory_left,
        results,
    }
}

/// Executes one run on a runtime with a paused clock.
fn run_paused(mix: &Mix, policy: Policy, seed: u64) -> Results {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    let requests = generate_requests(mix, seed);
    runtime.block_on(simulate(mix, &requests, policy, seed))
}

fn percentiles(histogram: &hdrhistogram::Histogram<u64>) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}
