//! Callers that repeatedly send a request which crashes every target that runs it, or requests with such a part in their
//! prompts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::callers::{
    ANSWER_TIMEOUT, FIRST_PART, SoakState, check_answer, random_request, resolve,
};
use super::fleet::Fleet;
use crate::platform::{Caller, CrashCause, CrashingRequests};

/// Number of crashed targets after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Number of crashed targets after which a part of prompts is quarantined.
const PART_QUARANTINE_CRASHES: usize = 5;

/// Time after that within which all nodes know of the quarantine.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of targets that requests with the cause may reach later.
const MAX_LATER_SENDS: usize = 3;

/// Maximum delay of the first attempt, so that requests start while other faults are active.
const MAX_START_DELAY: Duration = Duration::from_secs(3);

/// Distinguishes the random numbers of callers with a crashing part from those of the others.
const PART_SEED: u64 = 1 << 20;

/// Sends the same request to random nodes until the soak is stopped.
pub(super) async fn run_crasher(
    shared: Arc<SoakState>,
    crashing_requests: CrashingRequests,
    number: u64,
) {
    let seed = shared.attempts.load(Ordering::Relaxed) ^ number;
    let mut rng = StdRng::seed_from_u64(seed);
    let body = Bytes::from(format!("{{\"crash\":{number}}}"));
    crashing_requests.add(body.clone());
    tokio::time::sleep(MAX_START_DELAY.mul_f64(rng.random_range(0.0..1.0))).await;
    let first = random_request(&shared, &mut rng);
    while !shared.stopped.is_cancelled() {
        let addresses = resolve(&shared, &mut rng, Vec::new()).await;
        let mut request = first.clone();
        request.attempt = random_request(&shared, &mut rng).attempt;
        request.body = body.clone();
        if let Some(node) = addresses.choose(&mut rng) {
            let began = Instant::now();
            shared.note_disruption();
            shared.signals.on_sent(*node, &request);
            let result = Caller::default().ask(*node, &request).await;
            shared.signals.on_answer(*node, &result);
            check_answer(&shared, &request, began, &result);
        }
        tokio::time::sleep(ANSWER_TIMEOUT.mul_f64(rng.random_range(0.01..0.06))).await;
    }
}

/// Sends requests with the same part in their prompts, of which no two are alike, to random nodes until the soak is
/// stopped.
pub(super) async fn run_part_crasher(
    shared: Arc<SoakState>,
    crashing_requests: CrashingRequests,
    number: u64,
) {
    let seed = shared.attempts.load(Ordering::Relaxed) ^ number ^ PART_SEED;
    let mut rng = StdRng::seed_from_u64(seed);
    let cause = format!("bad{number}");
    crashing_requests.add_prompt_part(&cause);
    tokio::time::sleep(MAX_START_DELAY.mul_f64(rng.random_range(0.0..1.0))).await;
    while !shared.stopped.is_cancelled() {
        let addresses = resolve(&shared, &mut rng, Vec::new()).await;
        let mut request = random_request(&shared, &mut rng);
        request.path = "/ask/1".to_owned();
        request.tokens = Some((900, 46 * 3));
        let attempt = &request.attempt;
        request.body = Bytes::from(format!("{{\"part\":\"{attempt}\"}}"));
        request.prompt_parts = format!("{FIRST_PART}:400,{cause}:100,{attempt}:400");
        if let Some(node) = addresses.choose(&mut rng) {
            let began = Instant::now();
            shared.note_disruption();
            let result = Caller::default().ask(*node, &request).await;
            check_answer(&shared, &request, began, &result);
        }
        tokio::time::sleep(ANSWER_TIMEOUT.mul_f64(rng.random_range(0.01..0.06))).await;
    }
}

/// Checks that requests and parts of prompts which crash targets were quarantined.
pub(super) fn check_crashes(fleet: &Fleet, shared: &SoakState) {
    for (cause, times) in fleet.platform.crashing_requests.arrival_times() {
        let crashes = match &cause {
            CrashCause::Body(_) => QUARANTINE_CRASHES,
            CrashCause::PromptPart(_) => PART_QUARANTINE_CRASHES,
        };
        let Some(last) = times.get(crashes - 1) else {
            continue;
        };
        let later = times.iter().filter(|at| **at > *last + PROPAGATION_TIME);
        let later = later.count();
        shared.count(&format!("requests that reached {} targets", times.len()));
        if later > MAX_LATER_SENDS {
            let after: Vec<Duration> = times.iter().map(|at| *at - times[0]).collect();
            shared.report_violation(format!(
                "{later} sends too many of what crashes targets, {cause:?}: {after:?}"
            ));
        }
    }
}
