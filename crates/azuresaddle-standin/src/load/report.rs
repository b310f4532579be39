//! Summary of a load run, by length of the prompts.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use super::outcome::{Outcome, OutcomeKind};

/// Longest first-token time that is recorded, in milliseconds; longer ones are recorded as this.
const MAX_MS: u64 = 3_600_000;

/// Upper bounds of the length classes, in tokens, with their names.
const CLASS_BOUNDS: [(u64, &str); 4] = [
    (8_192, "up to 8k"),
    (65_536, "8k to 64k"),
    (262_144, "64k to 256k"),
    (u64::MAX, "over 256k"),
];

/// First-token times of the prompts in one length class.
#[derive(Clone, Debug)]
pub struct LengthClass {
    /// Requests sent.
    pub sent: u64,
    /// First-token times, in milliseconds.
    pub first_token_ms: Histogram<u64>,
}

impl Default for LengthClass {
    fn default() -> Self {
        Self {
            sent: 0,
            first_token_ms: Histogram::new_with_max(MAX_MS, 3).expect("constant bounds are valid"),
        }
    }
}

/// Counts and first-token times of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Requests that failed and did not run.
    pub refused: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests whose answer was incomplete or missing.
    pub lost: u64,
    /// Answers that contained a token of another answer.
    pub crossed: u64,
    /// Answers in which a token was repeated or missing.
    pub doubled: u64,
    /// Number of times a request was retried or resumed over another connection.
    pub resumes: u64,
    /// First-token times by length class.
    pub classes: BTreeMap<&'static str, LengthClass>,
}

impl LoadSummary {
    /// Adds the outcome of one request.
    pub fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        self.resumes += u64::from(outcome.resumes);
        match &outcome.kind {
            OutcomeKind::Whole => self.whole += 1,
            OutcomeKind::Failed(p) if p.verdict == azuresaddle_core::verdict::Verdict::NotRun => {
                self.refused += 1;
            }
            OutcomeKind::Failed(_) => self.failed += 1,
            OutcomeKind::Lost => self.lost += 1,
            OutcomeKind::Crossed => self.crossed += 1,
            OutcomeKind::Doubled => self.doubled += 1,
        }
        let class = self
            .classes
            .entry(class_name(outcome.prompt_tokens))
            .or_default();
        class.sent += 1;
        if let Some(took) = outcome.first_token {
            let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            class.first_token_ms.saturating_record(ms);
        }
    }

    /// Whether no answer was lost, crossed or doubled.
    pub fn is_sound(&self) -> bool {
        self.lost == 0 && self.crossed == 0 && self.doubled == 0
    }

    /// A percentile of the first-token time of short prompts, in milliseconds.
    pub fn short_first_token_ms(&self, percentile: f64) -> u64 {
        let class = self.classes.get(CLASS_BOUNDS[0].1);
        class.map_or(0, |c| {
            c.first_token_ms.value_at_quantile(percentile / 100.0)
        })
    }
}

fn class_name(prompt_tokens: u64) -> &'static str {
    let bound = CLASS_BOUNDS
        .iter()
        .find(|(bound, _)| prompt_tokens <= *bound);
    bound.map_or("", |(_, name)| name)
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "first token in ms    sent      p50      p95      p99      max"
        )?;
        for (_, name) in CLASS_BOUNDS {
            let Some(class) = self.classes.get(name) else {
                continue;
            };
            let h = &class.first_token_ms;
            writeln!(
                f,
                "{name:<18} {:>6} {:>8} {:>8} {:>8} {:>8}",
                class.sent,
                h.value_at_quantile(0.50),
                h.value_at_quantile(0.95),
                h.value_at_quantile(0.99),
                h.max(),
            )?;
        }
        write!(
            f,
            "sent {} whole {} refused {} failed {} lost {} crossed {} doubled {} (resumed {})",
            self.sent,
            self.whole,
            self.refused,
            self.failed,
            self.lost,
            self.crossed,
            self.doubled,
            self.resumes,
        )
    }
}
