//! Finds the targets for a stream.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::StreamOutcome;
use tokio::time::Instant;

use super::{DEFAULT_RETRY_AFTER, MAX_DECLINED, PlaceError, PlacementTimes, Relay};
use crate::forward::attempt::time_until;
use crate::placement::{PlaceRequest, PlacementGuard};
use crate::targets::InFlightGuard;

/// Part of the latency target that is reserved for the way back to the caller.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(12);

/// Timeout for the first event, in multiples of the expected time.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.5;

/// Added to that timeout, since short estimates have a large relative error.
const FIRST_EVENT_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Shortest time that callers wait for an event, according to their protocol.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that callers wait for an event, in multiples of the latency target.
const CALLER_TIMEOUT_TARGETS: u32 = 4;

/// Time that callers wait for an event, in multiples of the pause target.
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// The targets that a request is sent to.
pub(super) struct Placement<N: Network> {
    pub(super) target: Arc<TargetEntry>,
    pub(super) helpers: Vec<Arc<TargetEntry>>,
    pub(super) guard: Option<PlacementGuard<N>>,
    _in_flight: Option<InFlightGuard>,
    pub(super) first_event_timeout: Duration,
    /// Times of the placement on engines, for the log.
    pub(super) times: Option<PlacementTimes>,
}

impl<N: Network> Placement<N> {
    pub(super) fn on_first_event(&self) {
        if let Some(guard) = &self.guard {
            guard.on_first_event();
        }
    }

    pub(super) fn end(self, outcome: StreamOutcome) {
        if let Some(guard) = self.guard {
            guard.end(outcome);
        }
    }
}

impl<N: Network> Relay<N> {
    /// Waits for targets that are not in `exclude`. Fails if the request is quarantined first.
    pub(super) async fn place_unless_quarantined(
        &self,
        exclude: &[HostName],
    ) -> Result<Placement<N>, PlaceError> {
        let quarantine = Arc::clone(&self.cx.quarantine);
        let fingerprint = self.req.fingerprint;
        let parts = self.req.prompt_parts.clone();
        tokio::select! {
            biased;
            () = quarantine.until_quarantined(fingerprint, &parts) => Err(PlaceError::Quarantined),
            placed = self.place(exclude) => placed.map_err(PlaceError::RetryAfter),
        }
    }

    async fn place(&self, exclude: &[HostName]) -> Result<Placement<N>, Duration> {
        match self.cx.engine_spec(&self.req.service) {
            Some(spec) => {
                self.place_on_engines(spec.mean_answer_tokens, exclude)
                    .await
            }
            None => self.place_plain(exclude).await,
        }
    }

    async fn place_plain(&self, exclude: &[HostName]) -> Result<Placement<N>, Duration> {
        let service = &self.req.service;
        let chosen = self.cx.choose_target(service, exclude).await;
        let (target, in_flight) = chosen.ok_or_else(|| self.retry_after())?;
        Ok(Placement {
            target,
            helpers: Vec::new(),
            guard: None,
            _in_flight: Some(in_flight),
            first_event_timeout: time_until(self.req.deadline),
            times: None,
        })
    }

    async fn place_on_engines(
        &self,
        mean_answer_tokens: u64,
        exclude: &[HostName],
    ) -> Result<Placement<N>, Duration> {
        let route = &self.req.route;
        let (prompt_tokens, answer_tokens) =
            self.req.token_counts().unwrap_or((1, mean_answer_tokens));
        let first_event_by = match self.last_relayed_id {
            None => self.req.arrived + route.latency_target,
            // The first event of a resumed stream is late after one pause.
            Some(_) => Instant::now() + self.pause_target(),
        };
        if let Some(back_off) = self.cx.retry_in(&self.req.service) {
            return Err(back_off);
        }
        let mut gone = Vec::new();
        loop {
            let requested_at = Instant::now();
            let request = PlaceRequest {
                service: Arc::clone(&self.req.service),
                account: self.req.account_name(),
                prompt_tokens,
                answer_tokens,
                first_event_by: first_event_by - FIRST_EVENT_MARGIN,
                pause: self.pause_target(),
                give_up_at: self.give_up_at(),
                deadline: self.req.deadline,
                exclude: [&self.cx.health.back_offs().active(), exclude, &gone].concat(),
                suspect: self.cx.quarantine.suspect(self.req.fingerprint),
                priority: self.req.priority(),
            };
            let placed = self.cx.placement.place(request).await?;
            self.cx
                .metrics
                .on_placed(&self.req.service, requested_at.elapsed());
            let snapshot = self.cx.snapshots.load();
            let known = snapshot.targets.get(&placed.lead);
            let usable = known.filter(|t| !self.cx.health.is_address_reused(&t.id));
            let Some(target) = usable.cloned() else {
                // The owner does not know yet that the target is gone.
                let lead = placed.lead.clone();
                placed.end(StreamOutcome::TargetRefused(lead.clone()));
                gone.push(lead);
                if gone.len() > MAX_DECLINED as usize {
                    return Err(DEFAULT_RETRY_AFTER);
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
                // The lead declines a prompt that waits for a dead helper after this time.
                self.cx.bounds.target_stall
            };
            tracing::info!(
                part = "forward",
                request = self.req.head.id(),
                route = %self.req.route.name,
                target = %target.id,
                helpers = %join_names(&helpers),
                reserved_tokens = placed.helper_memory_tokens,
                prompt_tokens,
                configuration = snapshot.configuration.as_ref().map_or(0, |c| c.version.0),
                owner = snapshot.owner,
                waited_ms = self.req.arrived.elapsed().as_millis() as u64,
                expected_ms = placed.first_event_in.as_millis() as u64,
                "placed"
            );
            let times = PlacementTimes {
                waited: self.req.arrived.elapsed(),
                first_event_in: placed.first_event_in,
            };
            let first_event_timeout = scaled(placed.first_event_in, FIRST_EVENT_TIMEOUT_FACTOR)
                + FIRST_EVENT_TIMEOUT_MARGIN
                + stall;
            return Ok(Placement {
                target,
                helpers,
                guard: Some(placed),
                _in_flight: None,
                first_event_timeout,
                times: Some(times),
            });
        }
    }

    /// Value for `Retry-After`: the time until a target accepts requests again, if known.
    pub(super) fn retry_after(&self) -> Duration {
        self.cx
            .retry_in(&self.req.service)
            .unwrap_or(DEFAULT_RETRY_AFTER)
    }

    /// When the caller gives up if it has received no event.
    fn give_up_at(&self) -> Instant {
        let targets = self.req.route.latency_target * CALLER_TIMEOUT_TARGETS;
        let timeout = targets
            .max(self.pause_target() * CALLER_TIMEOUT_PAUSES)
            .max(MIN_CALLER_TIMEOUT);
        let since = self.last_event_at.unwrap_or(self.req.arrived);
        (since + timeout).min(self.req.deadline)
    }
}

/// Comma-separated names of targets, for the log.
fn join_names(targets: &[Arc<TargetEntry>]) -> String {
    let names: Vec<&str> = targets.iter().map(|t| t.id.as_str()).collect();
    names.join(",")
}
