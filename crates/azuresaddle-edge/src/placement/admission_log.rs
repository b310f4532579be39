//! Log and metrics of the refusals by admission.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_sched::passes::RefusalCounts;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Time without a refusal after which an overload counts as over; callers that were told to retry are back by then.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// An overload of one service.
#[derive(Debug)]
struct Overload {
    last_refusal: Instant,
    refused: RefusalCounts,
}

/// Counts refusals, and logs when a service begins and ceases to refuse requests.
pub(super) struct AdmissionLog {
    metrics: Metrics,
    overloads: HashMap<Arc<str>, Overload>,
}

impl AdmissionLog {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            overloads: HashMap::new(),
        }
    }

    /// Records the refusals of a service since the last call.
    pub(super) fn on_refusals(&mut self, now: Instant, service: &Arc<str>, counts: RefusalCounts) {
        if counts.total() == 0 {
            return;
        }
        self.metrics
            .on_admission_refusals(service, "arrival", counts.on_arrival);
        self.metrics
            .on_admission_refusals(service, "wait", counts.after_wait);
        let overload = self
            .overloads
            .entry(Arc::clone(service))
            .or_insert_with(|| {
                tracing::info!(part = "admission", service = %service, "refusing requests");
                Overload {
                    last_refusal: now,
                    refused: RefusalCounts::default(),
                }
            });
        overload.last_refusal = now;
        overload.refused.on_arrival += counts.on_arrival;
        overload.refused.after_wait += counts.after_wait;
    }

    /// Logs the overloads that have ended.
    pub(super) fn end_overloads(&mut self, now: Instant) {
        self.overloads.retain(|service, overload| {
            let is_over = now.saturating_duration_since(overload.last_refusal) >= QUIET_TIME;
            if is_over {
                tracing::info!(
                    part = "admission",
                    service = %service,
                    on_arrival = overload.refused.on_arrival,
                    after_wait = overload.refused.after_wait,
                    "refusing requests no longer"
                );
            }
            !is_over
        });
    }

    /// Number of services that refuse requests.
    #[cfg(test)]
    pub(super) fn overloads(&self) -> usize {
        self.overloads.len()
    }
}
