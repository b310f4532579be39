//! Guard of the engines that are assigned to a stream.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PlacementId, StreamOutcome};

use super::client::{PlacementClient, StreamState};
use crate::peer::ReportKind;

/// Engines that are assigned to a stream; released by [`Self::end`] or on drop.
pub(crate) struct PlacementGuard<N: Network> {
    pub(super) placement: Arc<PlacementClient<N>>,
    pub(super) id: PlacementId,
    pub(super) service: Arc<str>,
    /// Engine that receives the request and decodes the answer.
    pub(crate) lead: HostName,
    /// Engines that each prefill a part of the prompt.
    pub(crate) helpers: Vec<HostName>,
    /// Memory to reserve on each helper, in tokens; 0 for none.
    pub(crate) helper_memory_tokens: u64,
    /// Expected time from the decision to the first event.
    pub(crate) first_event_in: Duration,
    pub(super) is_ended: bool,
}

impl<N: Network> PlacementGuard<N> {
    /// Records the first event and reports it to the owner.
    pub(crate) fn on_first_event(&self) {
        if let Some(StreamState::Running { stream, .. }) = self.placement.lock().get_mut(&self.id) {
            stream.is_decoding = true;
            stream.first_event_in = Duration::ZERO;
        }
        self.placement
            .report(self.id, &self.service, ReportKind::FirstEvent);
    }

    /// Releases the engines and reports the outcome to the owner.
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
        // A request without a decision is withdrawn when its call is dropped.
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
