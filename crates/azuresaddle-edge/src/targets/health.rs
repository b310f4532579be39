//! Health of plain targets as this node observes it: load, failures, and addresses that another server took over.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::Breaker;
use azuresaddle_sched::target_health::{SendOutcome, TargetVerdicts};
use rand::Rng;
use tokio::time::Instant;

use super::answer_time::AnswerTime;
use super::back_offs::BackOffs;
use super::connect_silence::ConnectSilence;

/// Age after which the load that a target reported is no longer used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(300);

/// Time for which a target that refused a request is avoided; it may request a longer back-off.
const REFUSAL_AVOIDANCE_TIME: Duration = Duration::from_millis(120);

/// Preference for a target in the node's own failure domain, in requests; small enough to decide only between targets of
/// equal load.
const SAME_DOMAIN_BONUS: f64 = 0.5;

/// Weight of the latest outcome in the moving average of a target's trouble.
const TROUBLE_WEIGHT: f64 = 0.2;

/// Lower bound of expected answer times, in milliseconds; also used for targets that have not answered yet.
const MIN_ANSWER_MS: f64 = 1.0;

/// Load and failures of targets, as this node observed them.
#[derive(Default)]
pub(crate) struct TargetHealth {
    observations: Mutex<HashMap<HostName, Observations>>,
    back_offs: BackOffs,
}

/// What this node observed of one target.
#[derive(Default)]
struct Observations {
    /// Requests of this node.
    in_flight: u32,
    /// Number of requests that the target reported, and when.
    load: Option<(u32, Instant)>,
    breaker: Breaker,
    /// Since when it accepts no connection, if the latest attempt got no answer.
    connect_silence: Option<ConnectSilence>,
    /// Until when the target is avoided, since it refused a request.
    avoided_until: Option<Instant>,
    /// Until when the target's rate limit is used up.
    limited_until: Option<Instant>,
    /// Whether another server answers at its address.
    is_address_reused: bool,
    answer_time: AnswerTime,
    /// Moving average of the share of refusals, server errors and slow answers, from 0 to 1.
    trouble: f64,
}

impl TargetHealth {
    /// The target with the least expected wait that is not excluded, and not ejected unless no other is left.
    pub(crate) fn pick_accepted(
        self: &Arc<Self>,
        targets: &[Arc<TargetEntry>],
        verdicts: &TargetVerdicts,
        exclude: &[HostName],
        domain: &FailureDomain,
    ) -> Option<(Arc<TargetEntry>, InFlightGuard)> {
        if verdicts.is_empty() {
            return self.pick(targets, exclude, domain);
        }
        let accepted = targets.iter().filter(|t| verdicts.accepts(&t.id));
        let accepted: Vec<Arc<TargetEntry>> = accepted.cloned().collect();
        let is_left =
            |t: &Arc<TargetEntry>| !exclude.contains(&t.id) && !self.is_address_reused(&t.id);
        if accepted.iter().any(is_left) {
            // If they are all rate-limited or in back-off, the request is refused rather than sent to a failing target.
            return self.pick(&accepted, exclude, domain);
        }
        self.pick(targets, exclude, domain)
    }

    /// The target with the least expected wait that is not excluded.
    pub(crate) fn pick(
        self: &Arc<Self>,
        targets: &[Arc<TargetEntry>],
        exclude: &[HostName],
        domain: &FailureDomain,
    ) -> Option<(Arc<TargetEntry>, InFlightGuard)> {
        let now = Instant::now();
        let mut observations = self.lock();
        let usable = |t: &&Arc<TargetEntry>, only_preferred: bool| {
            let state = observations.get(&t.id);
            !exclude.contains(&t.id)
                && state
                    .is_none_or(|s| s.is_usable(now) && (!only_preferred || s.is_preferred(now)))
                && self.back_offs.until(&t.id).is_none()
        };
        let mut candidates: Vec<&Arc<TargetEntry>> =
            targets.iter().filter(|t| usable(t, true)).collect();
        if candidates.is_empty() {
            // A target that failed or refused recently is better than none.
            candidates = targets.iter().filter(|t| usable(t, false)).collect();
        }
        let waits: Vec<f64> = candidates
            .iter()
            .map(|t| expected_wait_ms(observations.get(&t.id), t.domain == *domain, now))
            .collect();
        let best = (0..candidates.len()).min_by(|a, b| waits[*a].total_cmp(&waits[*b]))?;
        let target = Arc::clone(candidates[best]);
        for other in candidates.iter().filter(|t| t.id != target.id) {
            if let Some(state) = observations.get_mut(&other.id) {
                state.answer_time.on_passed_over(candidates.len());
            }
        }
        observations.entry(target.id.clone()).or_default().in_flight += 1;
        let in_flight = InFlightGuard {
            health: Arc::clone(self),
            target: target.id.clone(),
        };
        Some((target, in_flight))
    }

    /// Records an answer and the time that it took.
    pub(crate) fn on_answer(&self, target: &HostName, took: Duration) {
        let mut observations = self.lock();
        let state = observations.entry(target.clone()).or_default();
        state.breaker.on_success();
        state.answer_time.on_answer(took);
    }

    /// Whether an answer took much longer than the target's answers usually do.
    pub(crate) fn is_slow(&self, target: &HostName, took: Duration) -> bool {
        let observations = self.lock();
        observations
            .get(target)
            .is_some_and(|s| s.answer_time.is_slow(took))
    }

    /// Records whether a target refused, answered slowly or with a server error, which makes other targets preferable.
    pub(crate) fn on_outcome(&self, target: &HostName, outcome: SendOutcome) {
        let trouble = match outcome {
            SendOutcome::Answered => 0.0,
            SendOutcome::ServerError | SendOutcome::Refused | SendOutcome::Slow => 1.0,
            // The circuit breaker and the fleet's verdicts cover these.
            SendOutcome::NoConnection | SendOutcome::NoAnswer => return,
        };
        let mut observations = self.lock();
        let state = observations.entry(target.clone()).or_default();
        state.trouble += (trouble - state.trouble) * TROUBLE_WEIGHT;
    }

    /// Forgets the failures of a target that has returned to use on all nodes.
    pub(crate) fn on_returned(&self, target: &HostName) {
        if let Some(state) = self.lock().get_mut(target) {
            state.breaker = Breaker::default();
        }
    }

    /// Records the number of requests that a target reports to have.
    pub(crate) fn on_load(&self, target: &HostName, requests: u32) {
        let load = Some((requests, Instant::now()));
        self.lock().entry(target.clone()).or_default().load = load;
    }

    /// Records a missing, broken or unreadable answer.
    pub(crate) fn on_failure(&self, target: &HostName) {
        let mut observations = self.lock();
        let state = observations.entry(target.clone()).or_default();
        state.breaker.on_failure(Instant::now());
        state.answer_time.on_no_answer();
    }

    /// Records that a target accepted a connection.
    pub(crate) fn on_connected(&self, target: &HostName) {
        if let Some(state) = self.lock().get_mut(target) {
            state.connect_silence = None;
        }
    }

    /// Records that a target neither accepted nor refused a connection since `began_at`.
    pub(crate) fn on_connect_timeout(&self, target: &HostName, began_at: Instant) {
        let mut observations = self.lock();
        let state = observations.entry(target.clone()).or_default();
        let silence = state.connect_silence;
        state.connect_silence = Some(ConnectSilence::after(silence, began_at, Instant::now()));
    }

    /// Whether a target that accepts no connection may be paused rather than down.
    pub(crate) fn may_be_paused(&self, target: &HostName) -> bool {
        let silence = self.lock().get(target).and_then(|s| s.connect_silence);
        silence.is_some_and(|s| s.may_be_pause(Instant::now()))
    }

    /// Records that a target refused a request.
    pub(crate) fn on_refused(&self, target: &HostName) {
        let until = Instant::now() + REFUSAL_AVOIDANCE_TIME;
        let mut observations = self.lock();
        let state = observations.entry(target.clone()).or_default();
        state.avoided_until = Some(until);
        state.answer_time.on_no_answer();
    }

    /// Records that a target's rate limit is used up for the time `wait`.
    pub(crate) fn on_limited(&self, target: &HostName, wait: Duration) {
        let until = Instant::now() + wait;
        self.lock().entry(target.clone()).or_default().limited_until = Some(until);
    }

    /// Clears which rate limits are used up. Called when the limits change.
    pub(crate) fn clear_limits(&self) {
        for state in self.lock().values_mut() {
            state.limited_until = None;
        }
    }

    /// Targets that have asked this node to back off.
    pub(crate) fn back_offs(&self) -> &BackOffs {
        &self.back_offs
    }

    /// Time until the first of these targets accepts a request, if all of them are rate-limited or in back-off.
    pub(crate) fn retry_in(&self, targets: &[Arc<TargetEntry>]) -> Option<Duration> {
        let now = Instant::now();
        let observations = self.lock();
        let held_until = |t: &Arc<TargetEntry>| {
            let limited = observations.get(&t.id).and_then(|s| s.limited_until(now));
            limited.max(self.back_offs.until(&t.id))
        };
        let all: Option<Vec<Instant>> = targets.iter().map(held_until).collect();
        all?.into_iter().min().map(|until| until - now)
    }

    /// Records that another server answers at the target's address.
    pub(crate) fn on_address_reused(&self, target: &HostName) {
        self.lock()
            .entry(target.clone())
            .or_default()
            .is_address_reused = true;
    }

    /// Whether another server answers at the target's address.
    pub(crate) fn is_address_reused(&self, target: &HostName) -> bool {
        self.lock().get(target).is_some_and(|s| s.is_address_reused)
    }

    /// Clears the observations of a target that has restarted. Requests to its earlier start count until they end.
    pub(crate) fn clear(&self, target: &HostName) {
        if let Some(state) = self.lock().get_mut(target) {
            state.clear();
        }
        self.back_offs.retain(|t| t != target);
    }

    /// Clears the observations of targets for which `keep` returns `false`, and removes those without requests in flight.
    pub(crate) fn retain(&self, keep: impl Fn(&HostName) -> bool) {
        self.back_offs.retain(&keep);
        self.lock().retain(|target, s| {
            let is_kept = keep(target);
            if !is_kept {
                s.clear();
            }
            is_kept || s.in_flight > 0
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HostName, Observations>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observations {
    fn clear(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            ..Self::default()
        };
    }

    /// Whether a request may be sent at all, also if no other target is left.
    fn is_usable(&self, now: Instant) -> bool {
        !self.is_address_reused && self.limited_until(now).is_none()
    }

    /// Until when the target's rate limit is used up.
    fn limited_until(&self, now: Instant) -> Option<Instant> {
        self.limited_until.filter(|until| now < *until)
    }

    /// Whether a request may be sent even if there are other targets: no recent refusal, and the circuit breaker allows it.
    fn is_preferred(&self, now: Instant) -> bool {
        self.avoided_until.is_none_or(|until| now >= until)
            && self.breaker.allows(now, self.in_flight as usize)
    }

    /// Number of requests that the target is expected to have.
    fn expected_requests(&self, now: Instant) -> f64 {
        let reported = self.load.filter(|(_, at)| now - *at < MAX_LOAD_AGE);
        let reported = reported.map_or(0, |(requests, _)| requests);
        f64::from(reported.max(self.in_flight))
    }

    /// Time that an answer is expected to take, in milliseconds; more for a target in trouble.
    fn expected_answer_ms(&self) -> f64 {
        // The answer to a request in flight will renew the average. Until then the full weight applies, so that no further
        // requests go to a target that may be slow.
        let weight = if self.in_flight == 0 {
            self.answer_time.weight()
        } else {
            1.0
        };
        let mean_ms = self.answer_time.mean_ms().unwrap_or(MIN_ANSWER_MS);
        (mean_ms * weight).max(MIN_ANSWER_MS) * (1.0 + self.trouble)
    }
}

/// Time until a further request to a target is expected to be answered, in milliseconds, less a bonus for a target in the
/// node's failure domain.
fn expected_wait_ms(state: Option<&Observations>, is_same_domain: bool, now: Instant) -> f64 {
    let requests = state.map_or(0.0, |s| s.expected_requests(now));
    let answer_ms = state.map_or(MIN_ANSWER_MS, Observations::expected_answer_ms);
    let bonus = if is_same_domain {
        SAME_DOMAIN_BONUS
    } else {
        0.0
    };
    // The random part keeps nodes with the same observations from choosing the same target.
    (requests + 1.0 - bonus + rand::rng().random_range(0.0..0.2)) * answer_ms
}

/// Counts a request in flight to a target until it is dropped.
pub(crate) struct InFlightGuard {
    health: Arc<TargetHealth>,
    target: HostName,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(state) = self.health.lock().get_mut(&self.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
