//! The mix of engines, client accounts, prompt lengths and faults. A JSON file can replace the
//! default.

use serde::{Deserialize, Serialize};

/// Input of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Mix {
    /// The engines of the pool.
    pub engines: EngineMix,
    /// Client accounts that send requests.
    pub accounts: Vec<AccountMix>,
    /// Distribution of the prompt lengths.
    pub lengths: LengthMix,
    /// Offered prefill work, as a fraction of the engines' capacity.
    pub load: f64,
    /// Mean length of the answers, in tokens. The lengths are geometrically distributed.
    pub mean_answer_tokens: f64,
    /// Time span in which requests arrive, in seconds.
    pub duration_s: f64,
    /// Time from the arrival of a request to its deadline, in seconds.
    pub deadline_s: f64,
    /// Delay of a message between owner, node and engine, one way, in milliseconds.
    pub message_delay_ms: f64,
    /// Extra prompts that arrive at once.
    pub burst: Option<Burst>,
    /// Engine faults.
    pub faults: Vec<Fault>,
}

/// The engines, which are all alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EngineMix {
    /// Number of engines.
    pub count: usize,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Memory of each engine, in tokens.
    pub memory_tokens: u64,
    /// Time of one decode step, in milliseconds.
    pub decode_step_ms: f64,
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AccountMix {
    /// Name.
    pub name: String,
    /// Share of the requests, relative to those of the other accounts.
    pub share: f64,
    /// Scheduling weight under contention.
    pub weight: f64,
    /// Worth of a completed request with a prompt of up to 8192 tokens.
    pub short_worth: f64,
    /// Worth of a completed request with a longer prompt.
    pub long_worth: f64,
    /// Longest prompt that the account sends, in tokens.
    pub longest: u64,
}

/// Log-normal distribution of the prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LengthMix {
    /// Median, in tokens.
    pub median: f64,
    /// Length that one in fifty prompts exceeds, in tokens.
    pub one_in_fifty: f64,
    /// Shortest prompt, in tokens.
    pub shortest: u64,
    /// Longest prompt, in tokens.
    pub longest: u64,
    /// Prompts longer than this are left out, to measure short ones alone.
    pub keep_up_to: Option<u64>,
}

/// Prompts that arrive at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Burst {
    /// Time from the start of the run, in seconds.
    pub at_s: f64,
    /// Number of prompts.
    pub count: usize,
    /// Length of each prompt, in tokens.
    pub tokens: u64,
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// Time from the start of the run, in seconds.
    pub at_s: f64,
    /// Index of the engine, from 0.
    pub engine: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kind of an engine fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// It stops answering for good and loses its streams.
    Die,
    /// Its prefills and decode steps take this many times as long.
    Slow(f64),
}

impl Default for Mix {
    fn default() -> Self {
        let account = |name: &str, share, short_worth, long_worth| AccountMix {
            name: name.to_owned(),
            share,
            short_worth,
            long_worth,
            ..AccountMix::default()
        };
        Self {
            engines: EngineMix::default(),
            accounts: vec![
                account("sabarmati", 0.5, 1.0, 1.0),
                account("aguaclara", 0.5, 1.0, 5.0),
            ],
            lengths: LengthMix::default(),
            load: 0.85,
            mean_answer_tokens: 418.0,
            duration_s: 3600.0,
            deadline_s: 180.0,
            message_delay_ms: 1.0,
            burst: None,
            faults: Vec::new(),
        }
    }
}

impl Default for EngineMix {
    fn default() -> Self {
        Self {
            count: 20,
            prefill_rate: 40_000.0,
            memory_tokens: 400_000,
            decode_step_ms: 5.0,
        }
    }
}

impl Default for AccountMix {
    fn default() -> Self {
        Self {
            name: "account".to_owned(),
            share: 1.0,
            weight: 1.0,
            short_worth: 1.0,
            long_worth: 1.0,
            longest: u64::MAX,
        }
    }
}

impl Default for LengthMix {
    fn default() -> Self {
        Self {
            median: 2_000.0,
            one_in_fifty: 100_000.0,
            shortest: 16,
            longest: 1_000_000,
            keep_up_to: None,
        }
    }
}

impl Mix {
    /// Returns a description of the first invalid setting, or `None` if the mix is valid.
    pub fn problem(&self) -> Option<&'static str> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let checks = [
            (self.engines.count > 0, "engines.count must be at least 1"),
            (
                positive(self.engines.prefill_rate),
                "engines.prefill-rate must be above 0",
            ),
            (
                self.engines.memory_tokens > 0,
                "engines.memory-tokens must be above 0",
            ),
            (
                positive(self.engines.decode_step_ms),
                "engines.decode-step-ms must be above 0",
            ),
            (!self.accounts.is_empty(), "accounts must not be empty"),
            (
                self.accounts
                    .iter()
                    .all(|a| positive(a.share) && positive(a.weight)),
                "accounts: share and weight must be above 0",
            ),
            (positive(self.load), "load must be above 0"),
            (
                self.mean_answer_tokens >= 1.0,
                "mean-answer-tokens must be at least 1",
            ),
            (positive(self.duration_s), "duration-s must be above 0"),
            (positive(self.deadline_s), "deadline-s must be above 0"),
            (
                positive(self.lengths.median),
                "lengths.median must be above 0",
            ),
            (
                self.lengths.one_in_fifty > self.lengths.median,
                "lengths.one-in-fifty must be above lengths.median",
            ),
            (
                self.lengths.shortest > 0 && self.lengths.longest >= self.lengths.shortest,
                "lengths.longest must be at least lengths.shortest, and that above 0",
            ),
            (
                self.faults.iter().all(|f| f.engine < self.engines.count),
                "faults: engine must be below engines.count",
            ),
        ];
        checks
            .iter()
            .find(|(holds, _)| !holds)
            .map(|(_, problem)| *problem)
    }
}
