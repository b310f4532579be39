//! Results of an experiment run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::arrivals::Request;
use super::engine_model::Engines;
use super::mix::{EngineMix, Mix};

/// Maximum length of a short prompt, in tokens.
pub const MAX_SHORT_TOKENS: u64 = 8_192;

/// Upper bounds of the length classes, in tokens, with their names.
const CLASSES: [(u64, &str); 4] = [
    (MAX_SHORT_TOKENS, "to-8k"),
    (100_000, "8k-100k"),
    (400_000, "100k-400k"),
    (u64::MAX, "over-400k"),
];

/// Longest time that the histograms record, in microseconds; longer times count as this one.
const MAX_RECORDED_US: u64 = 7_200_000_000;

/// Highest slowdown that the histograms record, in thousandths; higher ones count as this one.
const MAX_RECORDED_SLOWDOWN: u64 = 1_000_000_000;

/// Results of one length class.
#[derive(Clone, Debug)]
pub struct ClassResults {
    /// Name of the class.
    pub name: &'static str,
    /// Times to first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time to first token over that on an empty engine, in thousandths.
    pub slowdown: Histogram<u64>,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of missed deadlines.
    pub missed: u64,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Results {
    engines: EngineMix,
    duration_s: f64,
    /// Results by length class of the prompt.
    pub classes: Vec<ClassResults>,
    /// First-token times of short prompts by account, in microseconds.
    pub short_by_account: Vec<Histogram<u64>>,
    /// Worth of the requests completed by their deadlines.
    pub worth: f64,
    /// Requests with a complete answer by the deadline.
    pub whole: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that failed on every target tried.
    pub failed: u64,
    /// Deadlines missed by admitted requests.
    pub missed: u64,
    /// Requests without an outcome at the end of the run.
    pub lost: u64,
    /// Requests with two complete answers.
    pub doubled: u64,
    /// Memory still held at the end, in tokens.
    pub memory_left: u64,
}

impl Results {
    pub(super) fn new(mix: &Mix) -> Self {
        let times =
            || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("constant bounds are valid");
        let classes = CLASSES.iter().map(|(_, name)| ClassResults {
            name,
            first_token_us: times(),
            slowdown: Histogram::new_with_max(MAX_RECORDED_SLOWDOWN, 3)
                .expect("constant bounds are valid"),
            refused: 0,
            missed: 0,
        });
        Self {
            engines: mix.engines,
            duration_s: mix.duration_s,
            classes: classes.collect(),
            short_by_account: mix.accounts.iter().map(|_| times()).collect(),
            worth: 0.0,
            whole: 0,
            refused: 0,
            failed: 0,
            missed: 0,
            lost: 0,
            doubled: 0,
            memory_left: 0,
        }
    }

    pub(super) fn record_first_token(&mut self, request: &Request, took: Duration) {
        let unloaded = self.unloaded_first_token(request);
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let slowdown = (took.as_secs_f64() / unloaded.as_secs_f64() * 1000.0) as u64;
        let class = self.class(request.prompt_tokens);
        class.first_token_us.saturating_record(us);
        class.slowdown.saturating_record(slowdown);
        if request.prompt_tokens <= MAX_SHORT_TOKENS {
            self.short_by_account[request.account].saturating_record(us);
        }
    }

    pub(super) fn record_whole(&mut self, request: &Request) {
        self.whole += 1;
        self.worth += request.worth;
    }

    pub(super) fn record_refused(&mut self, request: &Request) {
        self.refused += 1;
        self.class(request.prompt_tokens).refused += 1;
    }

    pub(super) fn record_missed(&mut self, request: &Request) {
        self.missed += 1;
        self.class(request.prompt_tokens).missed += 1;
    }

    /// 95th percentile of the first-token time of short prompts, in milliseconds.
    pub fn short_p95_ms(&self) -> f64 {
        self.classes[0].first_token_us.value_at_quantile(0.95) as f64 / 1000.0
    }

    /// Worth of completed requests per second.
    pub fn worth_per_second(&self) -> f64 {
        self.worth / self.duration_s
    }

    /// 95th percentile of the slowdown of all but short prompts.
    pub fn long_slowdown_p95(&self) -> f64 {
        let mut all = self.classes[1].slowdown.clone();
        for class in &self.classes[2..] {
            all.add(&class.slowdown)
                .expect("the histograms have equal bounds");
        }
        all.value_at_quantile(0.95) as f64 / 1000.0
    }

    /// Time to first token of a request on otherwise empty engines.
    fn unloaded_first_token(&self, request: &Request) -> Duration {
        let memory = request.prompt_tokens + super::arrivals::MAX_ANSWER_TOKENS;
        let members = Engines::required_engines(&self.engines, memory) as f64;
        let prefill = request.prompt_tokens as f64 / (self.engines.prefill_rate * members);
        Duration::from_secs_f64(prefill.max(1e-6))
    }

    fn class(&mut self, prompt_tokens: u64) -> &mut ClassResults {
        let at = CLASSES
            .iter()
            .position(|(bound, _)| prompt_tokens <= *bound);
        &mut self.classes[at.unwrap_or(CLASSES.len() - 1)]
    }
}
