//! The sends of one stream.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use hyper::Response;

use super::MAX_DECLINED;
use crate::forward::body::ProxyBody;

/// The targets that a stream's request was sent to, and what became of it there.
#[derive(Debug, Default)]
pub(super) struct StreamSends {
    sends: Mutex<Sends>,
    reservations: AtomicU32,
}

#[derive(Debug, Default)]
struct Sends {
    /// Targets that may have run the request.
    runs: Vec<Run>,
    /// Targets that must not get the request, though they did not run it.
    exclude: Vec<HostName>,
    /// Sends after which the request did not run.
    declined: u32,
    /// Last answer with which a target reported a failure.
    server_error: Option<Response<ProxyBody>>,
}

#[derive(Debug)]
struct Run {
    target: HostName,
    state: RunState,
    /// Whether the request was sent to this target before.
    is_repeated: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// The target has the request.
    InFlight,
    /// Cancelled because the stream continued at another target. This target may get the request again.
    Cancelled,
    /// The target gave no whole answer.
    Lost,
}

impl StreamSends {
    /// Counts a send, whose request may run from now on. Returns `false` if `max_targets` other targets may have run it, or
    /// if this one has it now or lost its answer.
    pub(super) fn try_send(&self, target: &HostName, max_targets: u32) -> bool {
        let mut sends = self.lock();
        if let Some(run) = sends.find_mut(target) {
            let may_repeat = run.state == RunState::Cancelled;
            if may_repeat {
                run.state = RunState::InFlight;
                run.is_repeated = true;
            }
            return may_repeat;
        }
        if sends.runs.len() >= max_targets as usize {
            return false;
        }
        sends.runs.push(Run {
            target: target.clone(),
            state: RunState::InFlight,
            is_repeated: false,
        });
        true
    }

    /// Records that a send ended without a whole answer.
    pub(super) fn on_lost(&self, target: &HostName) {
        if let Some(run) = self.lock().find_mut(target) {
            run.state = RunState::Lost;
        }
    }

    /// Records that the request did not run at a target, since it was not sent or was declined.
    pub(super) fn on_not_run(&self, target: &HostName) {
        let mut sends = self.lock();
        sends.declined += 1;
        if let Some(run) = sends.find_mut(target) {
            // If this send never reached the target, the recorded run is that of an earlier send.
            run.is_repeated |= run.state != RunState::InFlight;
            run.state = RunState::Lost;
        }
        sends
            .runs
            .retain(|run| run.target != *target || run.is_repeated);
    }

    /// Records that all sends but that to `target` were cancelled.
    pub(super) fn cancel_others(&self, target: &HostName) {
        let mut sends = self.lock();
        let runs = sends.runs.iter_mut();
        for run in runs.filter(|r| r.target != *target && r.state == RunState::InFlight) {
            run.state = RunState::Cancelled;
        }
    }

    /// Keeps the request from a target.
    pub(super) fn exclude(&self, target: HostName) {
        self.lock().exclude.push(target);
    }

    /// Whether all of `targets` are excluded, since each declined the request or made another target decline it.
    pub(super) fn excludes_all(&self, targets: &[Arc<TargetEntry>]) -> bool {
        let exclude = &self.lock().exclude;
        !targets.is_empty() && targets.iter().all(|t| exclude.contains(&t.id))
    }

    /// Lets the excluded targets get the request again.
    pub(super) fn clear_excluded(&self) {
        self.lock().exclude.clear();
    }

    /// Whether a target has the request.
    pub(super) fn is_in_flight(&self, target: &HostName) -> bool {
        let sends = self.lock();
        sends
            .find(target)
            .is_some_and(|r| r.state == RunState::InFlight)
    }

    /// Whether the request is known not to have run at any target.
    pub(super) fn has_not_run(&self) -> bool {
        self.lock().runs.is_empty()
    }

    /// Number of sends that ended without a whole answer, though the request may have run.
    pub(super) fn lost(&self) -> u32 {
        let sends = self.lock();
        let lost = sends.runs.iter().filter(|r| r.state == RunState::Lost);
        lost.count() as u32
    }

    /// Number of sends after which the request did not run.
    pub(super) fn declined(&self) -> u32 {
        self.lock().declined
    }

    /// Whether one more send may follow, on `max_targets` targets at most.
    pub(super) fn may_follow(&self, max_targets: u32) -> bool {
        let sends = self.lock();
        let may_run = sends.runs.len() < max_targets as usize || sends.can_repeat();
        may_run && sends.declined <= MAX_DECLINED
    }

    /// Which of `targets` must not get the request, if `max_targets` may run it at most.
    pub(super) fn excluded<'a>(
        &self,
        targets: impl Iterator<Item = &'a HostName>,
        max_targets: u32,
    ) -> Vec<HostName> {
        let sends = self.lock();
        // Another target would exceed the maximum, so only one that may have run the request may get it again.
        let only_repeats = sends.runs.len() >= max_targets as usize;
        let is_excluded = |target: &&HostName| match sends.find(target) {
            Some(run) => run.state != RunState::Cancelled,
            None => only_repeats || sends.exclude.contains(target),
        };
        targets.filter(is_excluded).cloned().collect()
    }

    /// Keeps an answer with which a target reported a failure, for a caller that gets no other one.
    pub(super) fn keep_server_error(&self, response: Response<ProxyBody>) {
        self.lock().server_error = Some(response);
    }

    /// Takes the last answer that [`Self::keep_server_error`] kept.
    pub(super) fn take_server_error(&self) -> Option<Response<ProxyBody>> {
        self.lock().server_error.take()
    }

    /// A number for the next reservation of memory.
    pub(super) fn next_reservation(&self) -> u32 {
        self.reservations.fetch_add(1, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Sends> {
        self.sends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sends {
    fn find(&self, target: &HostName) -> Option<&Run> {
        self.runs.iter().find(|r| r.target == *target)
    }

    fn find_mut(&mut self, target: &HostName) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.target == *target)
    }

    /// Whether a target that has run the request may run it again.
    fn can_repeat(&self) -> bool {
        self.runs.iter().any(|r| r.state == RunState::Cancelled)
    }
}
