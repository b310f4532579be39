//! Where a stream is sent.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::StreamOutcome;
use tokio::time::Instant;

use super::{FirstPlace, MAX_DECLINED, NoPlace, RETRY_AFTER, Relay};
use crate::forward::attempt::until;
use crate::placement::{PlaceRequest, PlacementGuard};
use crate::targets::InFlightGuard;

/// Part of the latency target kept for the way back to the caller.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(12);

/// Expected times to the first event after which a target counts as silent.
const FIRST_EVENT_PATIENCE: f64 = 2.5;

/// Time added to that, for the error of short estimates.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);

/// Shortest time that callers wait for an event, by their own protocol.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Latency targets that callers wait for an event.
const CALLER_TARGETS: u32 = 4;

/// Longest pauses that callers wait for an event.
const CALLER_PAUSES: u32 = 8;

/// Where a request is sent.
pub(super) struct Place<N: Network> {
    pub(super) target: Arc<TargetEntry>,
    pub(super) helpers: Vec<Arc<TargetEntry>>,
    pub(super) placed: Option<PlacementGuard<N>>,
    _busy: Option<InFlightGuard>,
    pub(super) first_event_patience: Duration,
}

impl<N: Network> Place<N> {
    pub(super) fn on_first_event(&self) {
        if let Some(placed) = &self.placed {
            placed.on_first_event();
        }
    }

    pub(super) fn end(self, outcome: StreamOutcome) {
        if let Some(placed) = self.placed {
            placed.end(outcome);
        }
    }
}

impl<N: Network> Relay<N> {
    /// Finds a target, unless the request goes into quarantine before there is one.
    pub(super) async fn place_unless_quarantined(&mut self) -> Result<Place<N>, NoPlace> {
        let quarantine = Arc::clone(&self.cx.quarantine);
        let request = self.req.fingerprint;
        tokio::select! {
            biased;
            () = quarantine.until_quarantined(request) => Err(NoPlace::Quarantined),
            placed = self.place() => placed.map_err(NoPlace::Later),
        }
    }

    async fn place(&mut self) -> Result<Place<N>, Duration> {
        let service = Arc::clone(&self.req.service);
        match self.cx.engine_spec(&service) {
            Some(spec) => self.place_on_engines(spec.mean_answer_tokens).await,
            None => self.place_plain().await,
        }
    }

    async fn place_plain(&self) -> Result<Place<N>, Duration> {
        let service = &self.req.service;
        let chosen = self.cx.choose_target(service, &self.exclude).await;
        let (target, busy) = chosen.ok_or_else(|| self.retry_after())?;
        Ok(Place {
            target,
            helpers: Vec::new(),
            placed: None,
            _busy: Some(busy),
            first_event_patience: until(self.req.deadline),
        })
    }

    async fn place_on_engines(&mut self, usual_answer: u64) -> Result<Place<N>, Duration> {
        let route = &self.req.route;
        let (prompt_tokens, answer_tokens) = self.req.tokens().unwrap_or((1, usual_answer));
        let first_event_by = match self.last_id {
            None => self.req.arrived + route.latency_target,
            // A stream that goes on is late after a pause.
            Some(_) => Instant::now() + self.pause(),
        };
        if let Some(held) = self.cx.retry_in(&self.req.service) {
            return Err(held);
        }
        loop {
            let asked_at = Instant::now();
            let ask = PlaceRequest {
                service: Arc::clone(&self.req.service),
                account: self.req.account_name(),
                prompt_tokens,
                answer_tokens,
                first_event_by: first_event_by - FIRST_EVENT_MARGIN,
                pause: self.pause(),
                give_up_at: self.give_up_at(),
                deadline: self.req.deadline,
                exclude: self.excluded(),
                suspect: self.cx.quarantine.suspect(self.req.fingerprint),
            };
            let placed = self.cx.placement.place(ask).await?;
            self.cx
                .metrics
                .on_placed(&self.req.service, asked_at.elapsed());
            let snapshot = self.cx.snapshots.load();
            let known = snapshot.targets.get(&placed.lead);
            let usable = known.filter(|t| !self.cx.health.is_address_reused(&t.id));
            let Some(target) = usable.cloned() else {
                // The owner has not heard yet that the target is gone.
                let lead = placed.lead.clone();
                placed.end(StreamOutcome::TargetRefused(lead.clone()));
                self.exclude.push(lead);
                self.declined += 1;
                if self.declined > MAX_DECLINED {
                    return Err(RETRY_AFTER);
                }
                continue;
            };
            let helpers: Vec<Arc<TargetEntry>> = placed
                .helpers
                .iter()
                .filter_map(|id| snapshot.targets.get(id).cloned())
                .collect();
            let stall = if helpers.is_empty() {
                Duration::ZERO
            } else {
                // A prompt that waits for a dead helper is declined after that time.
                self.cx.bounds.target_stall
            };
            tracing::info!(
                part = "forward",
                request = self.req.head.id(),
                route = %self.req.route.name,
                target = %target.id,
                helpers = %names(&helpers),
                reserved_tokens = placed.helper_memory_tokens,
                prompt_tokens,
                configuration = snapshot.configuration.as_ref().map_or(0, |c| c.version.0),
                owner = snapshot.owner,
                waited_ms = self.req.arrived.elapsed().as_millis() as u64,
                expected_ms = placed.first_event_in.as_millis() as u64,
                "placed"
            );
            self.first_place.get_or_insert(FirstPlace {
                waited: self.req.arrived.elapsed(),
                first_event_in: placed.first_event_in,
            });
            let first_event_patience =
                placed.first_event_in.mul_f64(FIRST_EVENT_PATIENCE) + FIRST_EVENT_SLACK + stall;
            return Ok(Place {
                target,
                helpers,
                placed: Some(placed),
                _busy: None,
                first_event_patience,
            });
        }
    }

    /// Engines that must not be used: those that failed this request, and those in back-off.
    fn excluded(&self) -> Vec<HostName> {
        let mut excluded = self.cx.health.back_offs().active();
        excluded.extend(self.exclude.iter().cloned());
        excluded
    }

    /// When the caller should come back: not before a target takes requests again.
    pub(super) fn retry_after(&self) -> Duration {
        self.cx.retry_in(&self.req.service).unwrap_or(RETRY_AFTER)
    }

    /// When the caller gives up if no event comes.
    fn give_up_at(&self) -> Instant {
        let targets = self.req.route.latency_target * CALLER_TARGETS;
        let patience = targets
            .max(self.pause() * CALLER_PAUSES)
            .max(CALLER_PATIENCE);
        let since = self.last_event_at.unwrap_or(self.req.arrived);
        (since + patience).min(self.req.deadline)
    }
}

/// Names of targets for one log line.
fn names(targets: &[Arc<TargetEntry>]) -> String {
    let names: Vec<&str> = targets.iter().map(|t| t.id.as_str()).collect();
    names.join(",")
}
