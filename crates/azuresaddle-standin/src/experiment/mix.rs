//! The mix of engines, accounts, lengths and faults; a JSON file replaces the default.

use serde::{Deserialize, Serialize};

/// Everything that an experiment runs on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Mix {
    /// The engines of the pool.
    pub engines: EngineMix,
    /// Who sends.
    pub accounts: Vec<AccountMix>,
    /// Lengths of prompts.
    pub lengths: LengthMix,
    /// Offered prefill work, as a part of what the engines can do.
    pub load: f64,
    /// Mean answer, in tokens; the lengths are geometric.
    pub mean_answer_tokens: f64,
    /// How long requests arrive, in seconds.
    pub duration_s: f64,
    /// Time until each deadline, in seconds.
    pub deadline_s: f64,
    /// Delay of a message between owner, node and engine, one way, in milliseconds.
    pub message_delay_ms: f64,
    /// Extra prompts that arrive at once.
    pub burst: Option<Burst>,
    /// What fails, and when.
    pub faults: Vec<Fault>,
}

/// Equal engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EngineMix {
    /// Number of engines.
    pub count: usize,
    /// Prefill rate, in tokens a second.
    pub prefill_rate: f64,
    /// Memory, in tokens.
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
    /// Part of the requests, relative to the other accounts'.
    pub share: f64,
    /// Weight in contention.
    pub weight: f64,
    /// Worth of a completed request of up to 8192 tokens.
    pub short_worth: f64,
    /// Worth of a longer one.
    pub long_worth: f64,
    /// Longest prompt the account sends, in tokens.
    pub longest: u64,
}

/// Log-normal lengths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LengthMix {
    /// Median, in tokens.
    pub median: f64,
    /// Length that one in fifty prompts is above, in tokens.
    pub one_in_fifty: f64,
    /// Shortest prompt, in tokens.
    pub shortest: u64,
    /// Longest prompt, in tokens.
    pub longest: u64,
    /// Prompts longer than this are left out; to measure short ones alone.
    pub keep_up_to: Option<u64>,
}

/// Prompts that arrive at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Burst {
    /// When, in seconds.
    pub at_s: f64,
    /// How many.
    pub count: usize,
    /// Length of each, in tokens.
    pub tokens: u64,
}

/// Something that fails.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    pub at_s: f64,
    /// Number of the engine, from 0.
    pub engine: usize,
    /// What happens.
    pub kind: FaultKind,
}

/// What happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// It stops answering for good and loses its streams.
    Die,
    /// Its prefills and steps take this many times as long.
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
    /// The first thing that makes the mix unusable, if any.
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
