//! Outcome of a request in a simulated day, and the loss caused by holding it.

use super::{CALLER_ROUND_TRIP_MS, Simulation, give_up_ms};
use crate::passes::scoring::RequestOutcome;

impl Simulation<'_> {
    /// Fraction of a request's worth that is lost because it was held without being sent to an engine.
    pub(super) fn holding_loss(&self, i: usize) -> f64 {
        let stream = &self.streams[i];
        if !stream.engines.is_empty() {
            return 0.0;
        }
        let request = &self.requests[i];
        let kind = &self.workload.kinds[request.kind];
        let until = stream.refused_at.unwrap_or(f64::INFINITY) - request.at_ms;
        let free = kind.first_event_ms / 8.0;
        let all = give_up_ms(kind) * 0.75;
        ((until - free) / (all - free)).clamp(0.0, 1.0)
    }

    pub(super) fn outcome(&self, i: usize) -> RequestOutcome {
        let stream = &self.streams[i];
        let request = &self.requests[i];
        let kind = &self.workload.kinds[request.kind];
        let (Some(first), Some(ended)) = (stream.first_at, stream.ended_at) else {
            return RequestOutcome::Lost;
        };
        let took = |at: f64| at - request.at_ms + CALLER_ROUND_TRIP_MS;
        if took(first) > give_up_ms(kind) || took(ended) > kind.deadline_ms {
            return RequestOutcome::Lost;
        }
        let is_on_time =
            took(first) <= kind.first_event_ms && stream.longest_pause_ms <= kind.pause_ms;
        if is_on_time {
            RequestOutcome::OnTime
        } else {
            RequestOutcome::Late
        }
    }
}
