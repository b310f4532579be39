//! Callers whose long streams take up all engines, so that requests wait for one.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::callers::{SoakState, random_node, random_request};
use crate::platform::{CallerError, CallerRequest};

/// Tokens per event; equals `stride` in the stand-in configuration.
const TOKENS_PER_EVENT: u64 = 46;

/// Events of a stream, which takes some seconds.
const EVENTS: std::ops::Range<u64> = 40..120;

/// Longest pause after an answer.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Asks for long streams until the soak is stopped. A request that no target has run must get an answer.
pub(super) async fn run_waiting_caller(shared: Arc<SoakState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.stopped.is_cancelled() {
        let Some(node) = random_node(&shared, &mut rng).await else {
            continue;
        };
        let events = rng.random_range(EVENTS);
        let request = CallerRequest {
            path: "/ask/1".to_owned(),
            tokens: Some((rng.random_range(200..4000), events * TOKENS_PER_EVENT)),
            ..random_request(&shared, &mut rng)
        };
        let began = Instant::now();
        let result = shared.new_caller().ask(node, &request).await;
        let name = match &result {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(e) => e.to_string(),
        };
        shared.count(&format!("callers in a crowd: {name}"));
        let has_run = shared.runs.of(&request.attempt).count > 0;
        // A stream that has begun may outlast the grace period of a stop.
        let is_excused = has_run
            && if shared.has_sound_targets {
                shared.has_outlasted_stop(node, began)
            } else {
                shared.was_stopped_since(node, began)
            };
        // A caller that left before the first event may have done so because no engine was free.
        let is_lost = match &result {
            Ok(answer) => shared.is_failure(answer.status),
            Err(CallerError::BrokenOff | CallerError::Left { has_begun: true }) => true,
            Err(_) => false,
        };
        if is_lost && !is_excused && !shared.was_disrupted_since(began) {
            shared.report_violation(format!(
                "{request:?} in a crowd: {result:?}, ran: {has_run}"
            ));
        }
        tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
    }
}
