//! Generates the requests of a mix.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::mix::Mix;
use super::results::MAX_SHORT_TOKENS;

/// The 98th percentile of the standard normal distribution, above which one in fifty values lies.
const ONE_IN_FIFTY_Z: f64 = 2.053_749;

/// Number of lengths sampled to estimate the mean.
const MEAN_SAMPLES: usize = 400_000;

/// A request of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Time of arrival, from the start of the run.
    pub at: Duration,
    /// Index of its client account in the mix.
    pub account: usize,
    /// Name of its client account.
    pub account_name: ClientAccount,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Worth if it is completed by its deadline.
    pub worth: f64,
    /// Scheduling weight of its client account.
    pub weight: f64,
}

/// Generates all requests of a mix, in order of arrival.
pub fn generate_requests(mix: &Mix, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let lengths = Lengths::new(mix);
    let capacity = mix.engines.count as f64 * mix.engines.prefill_rate;
    let rate = mix.load * capacity / lengths.mean();
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= mix.duration_s {
            break;
        }
        let request = draw(mix, &lengths, &mut rng, at);
        let kept = mix
            .lengths
            .keep_up_to
            .is_none_or(|max| request.prompt_tokens <= max);
        if kept {
            requests.push(request);
        }
    }
    draw_burst(mix, &mut rng, &mut requests);
    requests.sort_by_key(|r| r.at);
    requests
}

fn draw_burst(mix: &Mix, rng: &mut StdRng, requests: &mut Vec<Request>) {
    let Some(burst) = mix.burst else {
        return;
    };
    if mix.lengths.keep_up_to.is_some_and(|max| burst.tokens > max) {
        return;
    }
    let lengths = Lengths::new(mix);
    for _ in 0..burst.count {
        let mut request = draw(mix, &lengths, rng, burst.at_s);
        request.prompt_tokens = burst.tokens;
        requests.push(request);
    }
}

fn draw(mix: &Mix, lengths: &Lengths, rng: &mut StdRng, at: f64) -> Request {
    let total: f64 = mix.accounts.iter().map(|a| a.share).sum();
    let mut point = rng.random::<f64>() * total;
    let mut account = 0;
    for (i, candidate) in mix.accounts.iter().enumerate() {
        account = i;
        point -= candidate.share;
        if point < 0.0 {
            break;
        }
    }
    let chosen = &mix.accounts[account];
    let prompt_tokens = lengths.draw(rng).min(chosen.longest);
    let answer = -(1.0 - rng.random::<f64>()).ln() * mix.mean_answer_tokens;
    Request {
        at: Duration::from_secs_f64(at),
        account,
        account_name: ClientAccount::new(&chosen.name),
        prompt_tokens,
        answer_tokens: (answer as u64).clamp(1, MAX_ANSWER_TOKENS),
        worth: if prompt_tokens <= MAX_SHORT_TOKENS {
            chosen.short_worth
        } else {
            chosen.long_worth
        },
        weight: chosen.weight,
    }
}

/// Maximum length of an answer, in tokens. Memory is reserved for this length.
pub(super) const MAX_ANSWER_TOKENS: u64 = 1_024;

struct Lengths {
    distribution: LogNormal<f64>,
    shortest: u64,
    longest: u64,
}

impl Lengths {
    fn new(mix: &Mix) -> Self {
        let l = &mix.lengths;
        let sigma = (l.one_in_fifty / l.median).ln() / ONE_IN_FIFTY_Z;
        Self {
            distribution: LogNormal::new(l.median.ln(), sigma).expect("the mix was checked"),
            shortest: l.shortest,
            longest: l.longest,
        }
    }

    fn draw(&self, rng: &mut StdRng) -> u64 {
        let tokens = self.distribution.sample(rng) as u64;
        tokens.clamp(self.shortest, self.longest)
    }

    /// Mean length, estimated by sampling with a fixed seed.
    fn mean(&self) -> f64 {
        let mut rng = StdRng::seed_from_u64(0);
        let sum: f64 = (0..MEAN_SAMPLES).map(|_| self.draw(&mut rng) as f64).sum();
        sum / MEAN_SAMPLES as f64
    }
}
