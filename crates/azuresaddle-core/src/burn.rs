//! Error-budget burn: service-level counts of a node, by client account and rule.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer as HistogramReader, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::prelude::*;

/// Windows over which error-budget burn is reported, in minutes.
pub const WINDOW_MINUTES: [u64; 4] = [5, 30, 60, 360];

/// Upper bound of the first-token histograms, in milliseconds; longer times count as this one.
const MAX_FIRST_TOKEN_MS: u64 = 3_600_000;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Time to the first token, if it came.
    pub first_token: Option<Duration>,
    /// Whether the first token came after the target or never.
    pub first_token_missed: bool,
    /// Whether the deadline passed before the answer was complete.
    pub deadline_missed: bool,
    /// Whether the answer was completed.
    pub answered: bool,
    /// Whether the request was refused before it ran.
    pub refused: bool,
}

/// Request counts over one window or minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Requests whose first token came after the target or never.
    pub first_token_missed: u64,
    /// Requests whose deadline passed before the answer was complete.
    pub deadline_missed: u64,
    /// Requests without a complete answer.
    pub unanswered: u64,
    /// Requests refused before they ran.
    pub refused: u64,
}

impl Counts {
    fn add_sample(&mut self, sample: &Sample) {
        self.requests += 1;
        self.first_token_missed += u64::from(sample.first_token_missed);
        self.deadline_missed += u64::from(sample.deadline_missed);
        self.unanswered += u64::from(!sample.answered);
        self.refused += u64::from(sample.refused);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.first_token_missed += other.first_token_missed;
        self.deadline_missed += other.deadline_missed;
        self.unanswered += other.unanswered;
        self.refused += other.refused;
    }
}

/// Counts of one client account under one rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnRow {
    /// The client account.
    pub account: ClientAccount,
    /// Name of the rule; empty for the default treatment.
    pub rule: String,
    /// Counts for each of [`WINDOW_MINUTES`].
    pub windows: Vec<Counts>,
    /// Serialized histogram of first-token times in milliseconds since the node's start.
    pub first_token_ms: Vec<u8>,
}

/// Counts of a node, or of several merged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BurnCounts {
    /// One row for each account and rule.
    pub rows: Vec<BurnRow>,
}

impl BurnCounts {
    /// Adds the counts of another node. Histograms are merged, so that percentiles stay correct.
    pub fn merge(&mut self, other: Self) {
        for row in other.rows {
            let same = |r: &&mut BurnRow| r.account == row.account && r.rule == row.rule;
            match self.rows.iter_mut().find(same) {
                Some(known) => known.merge(&row),
                None => self.rows.push(row),
            }
        }
    }
}

impl BurnRow {
    fn merge(&mut self, other: &Self) {
        for (mine, theirs) in self.windows.iter_mut().zip(&other.windows) {
            mine.merge(theirs);
        }
        let mut histogram = self.histogram();
        if histogram.add(other.histogram()).is_ok() {
            self.first_token_ms = to_bytes(&histogram);
        }
    }

    /// Histogram of first-token times in milliseconds; empty if the bytes are invalid.
    pub fn histogram(&self) -> Histogram<u64> {
        HistogramReader::new()
            .deserialize(&mut self.first_token_ms.as_slice())
            .unwrap_or_else(|_| new_histogram())
    }
}

/// Aggregates request outcomes by client account and rule.
#[derive(Debug, Default)]
pub struct BurnRecorder {
    rows: Mutex<BTreeMap<(ClientAccount, String), Row>>,
}

#[derive(Debug)]
struct Row {
    /// Counts by minute since the row's first sample, the newest last.
    minutes: VecDeque<(u64, Counts)>,
    first_token_ms: Histogram<u64>,
    started: Instant,
}

impl BurnRecorder {
    /// Records the outcome of a request.
    pub fn record(&self, now: Instant, account: &ClientAccount, rule: &str, sample: &Sample) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (account.clone(), rule.to_owned());
        let row = rows.entry(key).or_insert_with(|| Row {
            minutes: VecDeque::new(),
            first_token_ms: new_histogram(),
            started: now,
        });
        row.add(now, sample);
    }

    /// Counts over the windows that end at `now`.
    pub fn counts(&self, now: Instant) -> BurnCounts {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = rows
            .iter()
            .map(|((account, rule), row)| BurnRow {
                account: account.clone(),
                rule: rule.clone(),
                windows: WINDOW_MINUTES.iter().map(|w| row.window(now, *w)).collect(),
                first_token_ms: to_bytes(&row.first_token_ms),
            })
            .collect();
        BurnCounts { rows }
    }
}

impl Row {
    fn minute(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_secs() / 60
    }

    fn add(&mut self, now: Instant, sample: &Sample) {
        let minute = self.minute(now);
        if self.minutes.back().is_none_or(|(last, _)| *last != minute) {
            self.minutes.push_back((minute, Counts::default()));
        }
        if let Some((_, counts)) = self.minutes.back_mut() {
            counts.add_sample(sample);
        }
        if let Some(took) = sample.first_token {
            let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            self.first_token_ms.saturating_record(ms);
        }
        let longest = WINDOW_MINUTES[WINDOW_MINUTES.len() - 1];
        while self
            .minutes
            .front()
            .is_some_and(|(m, _)| m + longest < minute)
        {
            self.minutes.pop_front();
        }
    }

    fn window(&self, now: Instant, minutes: u64) -> Counts {
        let minute = self.minute(now);
        let mut sum = Counts::default();
        for (_, counts) in self.minutes.iter().filter(|(m, _)| m + minutes > minute) {
            sum.merge(counts);
        }
        sum
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_FIRST_TOKEN_MS, 2).expect("constant bounds are valid")
}

fn to_bytes(histogram: &Histogram<u64>) -> Vec<u8> {
    let mut bytes = Vec::new();
    V2Serializer::new()
        .serialize(histogram, &mut bytes)
        .expect("a vector takes any bytes");
    bytes
}
