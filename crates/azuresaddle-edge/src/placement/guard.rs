//! Engines that a stream holds.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PlacementId, StreamOutcome};

use super::client::{PlacementClient, StreamState};
use crate::peer::ReportKind;

/// Engines for a stream, held until it ends.
pub(crate) struct PlacementGuard<N: Network> {
    pub(super) placement: Arc<PlacementClient<N>>,
    pub(super) id: PlacementId,
    pub(super) service: Arc<str>,
    pub(crate) lead: HostName,
    pub(crate) helpers: Vec<HostName>,
    /// Memory to reserve on each helper, in tokens; 0 for none.
    pub(crate) helper_memory_tokens: u64,
    pub(crate) first_event_in: Duration,
    pub(super) is_ended: bool,
}

impl<N: Network> PlacementGuard<N> {
    /// Notes the first event.
    pub(crate) fn on_first_event(&self) {
        if let Some(StreamState::Running { stream, .. }) = self.placement.lock().get_mut(&self.id) {
            stream.is_decoding = true;
            stream.first_event_in = Duration::ZERO;
        }
        self.placement
            .report(self.id, &self.service, ReportKind::FirstEvent);
    }

    /// Gives the engines back.
    pub(crate) fn end(mut self, outcome: StreamOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: StreamOutcome) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let was_running = matches!(
            self.placement.lock().remove(&self.id),
            Some(StreamState::Running { .. })
        );
        // A waiting ask is withdrawn by its dropped call.
        if was_running {
            self.placement
                .report(self.id, &self.service, ReportKind::Ended(outcome));
        }
    }
}

impl<N: Network> Drop for PlacementGuard<N> {
    fn drop(&mut self) {
        self.finish(StreamOutcome::Cancelled);
    }
}
