//! Callers that repeatedly send a request which crashes every target that runs it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::callers::{ANSWER_TIMEOUT, SoakState, check_answer, random_request, resolve};
use super::fleet::Fleet;
use crate::platform::{Caller, CrashingRequests};

/// Number of crashed targets after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time after that within which all nodes know of the quarantine.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of targets that the request may reach later.
const MAX_LATER_SENDS: usize = 3;

/// Maximum delay of the first attempt, so that requests start while other faults are active.
const MAX_START_DELAY: Duration = Duration::from_secs(3);

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

/// Checks that requests which crash their targets were quarantined.
pub(super) fn check_crashes(fleet: &Fleet, shared: &SoakState) {
    for times in fleet.platform.crashing_requests.arrival_times() {
        let Some(third) = times.get(QUARANTINE_CRASHES - 1) else {
            continue;
        };
        let later = times.iter().filter(|at| **at > *third + PROPAGATION_TIME);
        let later = later.count();
        shared.count(&format!("requests that reached {} targets", times.len()));
        if later > MAX_LATER_SENDS {
            let after: Vec<Duration> = times.iter().map(|at| *at - times[0]).collect();
            shared.report_violation(format!(
                "{later} sends of a request that crashes targets: {after:?}"
            ));
        }
    }
}
