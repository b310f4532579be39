//! Sends the requests of a load plan.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use futures::stream::{FuturesUnordered, StreamExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::caller::{Caller, CallerRequest};
use super::outcome::Outcome;
use super::report::LoadSummary;

/// Requests of one client account with similar lengths, sent at a constant mean rate.
#[derive(Clone, Debug)]
pub struct RequestProfile {
    /// Client account.
    pub account: ClientAccount,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Shortest prompt, in tokens.
    pub min_tokens: u64,
    /// Longest prompt, in tokens.
    pub max_tokens: u64,
    /// Kind of the requests, matched by rules.
    pub kind: String,
    /// Time after the start at which one more request is sent regardless of the rate.
    pub extra_request_at: Option<Duration>,
}

/// The requests of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The model.
    pub model: Model,
    /// Profiles of the requests, which are sent concurrently.
    pub profiles: Vec<RequestProfile>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Maximum length of an answer, in tokens.
    pub answer_tokens: u64,
    /// Time from sending a request to its deadline.
    pub deadline: Duration,
    /// Seed of arrival times, prompt lengths and prompts.
    pub seed: u64,
}

/// A request of a plan and the time at which it is sent.
struct Arrival {
    at: Duration,
    account: ClientAccount,
    request: CallerRequest,
}

/// Sends a plan's requests and waits for all their outcomes; `on_outcome` is called with the
/// summary so far after each.
pub async fn run_load<N: Network>(
    http: &HttpClient<N>,
    seeds: &[SocketAddr],
    plan: &LoadPlan,
    mut on_outcome: impl FnMut(&LoadSummary),
) -> LoadSummary {
    let started = Instant::now();
    let mut running: FuturesUnordered<_> = arrivals(plan)
        .into_iter()
        .map(|arrival| {
            let mut caller = Caller::new(http.clone(), arrival.account, seeds.to_vec());
            async move {
                tokio::time::sleep_until(started + arrival.at).await;
                caller.run(&arrival.request).await
            }
        })
        .collect();
    let mut report = LoadSummary::default();
    while let Some(outcome) = running.next().await {
        let outcome: Outcome = outcome;
        report.add(&outcome);
        on_outcome(&report);
    }
    report
}

/// Draws Poisson arrivals for all profiles.
fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut arrivals = Vec::new();
    for profile in &plan.profiles {
        let mut times: Vec<Duration> = profile.extra_request_at.into_iter().collect();
        let mut at = 0.0;
        loop {
            at += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / profile.rate;
            if at >= plan.duration.as_secs_f64() {
                break;
            }
            times.push(Duration::from_secs_f64(at));
        }
        let made = times
            .into_iter()
            .map(|at| arrival(plan, profile, at, &mut rng));
        arrivals.extend(made);
    }
    arrivals
}

fn arrival(plan: &LoadPlan, profile: &RequestProfile, at: Duration, rng: &mut StdRng) -> Arrival {
    Arrival {
        at,
        account: profile.account.clone(),
        request: CallerRequest {
            model: plan.model.clone(),
            prompt_tokens: rng.random_range(profile.min_tokens..=profile.max_tokens),
            seed: rng.random(),
            max_tokens: plan.answer_tokens,
            kind: profile.kind.clone(),
            deadline: plan.deadline,
            idempotent: true,
            key: None,
        },
    }
}
