//! The sends of one stream so far.

use std::sync::{Mutex, MutexGuard, PoisonError};

use azuresaddle_core::prelude::*;
use hyper::Response;

use super::MAX_DECLINED;
use crate::forward::body::ProxyBody;

/// The sends of a stream, apart from the one whose answer is awaited or relayed.
#[derive(Debug, Default)]
pub(super) struct SendHistory(Mutex<Sends>);

#[derive(Debug, Default)]
struct Sends {
    /// Targets that must not get the request again.
    exclude: Vec<HostName>,
    /// Sends after which the request may have run.
    runs: u32,
    /// Sends after which it did not run.
    declined: u32,
    /// Last answer with which a target reported a failure.
    last_failure: Option<Response<ProxyBody>>,
}

impl SendHistory {
    pub(super) fn runs(&self) -> u32 {
        self.lock().runs
    }

    pub(super) fn declined(&self) -> u32 {
        self.lock().declined
    }

    /// Targets that must not get the request again.
    pub(super) fn excluded(&self) -> Vec<HostName> {
        self.lock().exclude.clone()
    }

    pub(super) fn exclude(&self, target: HostName) {
        let mut sends = self.lock();
        if !sends.exclude.contains(&target) {
            sends.exclude.push(target);
        }
    }

    /// Counts a send after which the request may have run.
    pub(super) fn on_run(&self) {
        self.lock().runs += 1;
    }

    /// Takes back a send that was counted by [`Self::on_run`].
    pub(super) fn take_back_run(&self) {
        let mut sends = self.lock();
        sends.runs = sends.runs.saturating_sub(1);
    }

    /// Counts a send after which the request did not run.
    pub(super) fn on_declined(&self) {
        self.lock().declined += 1;
    }

    /// Whether so many sends were declined that no other one may follow.
    pub(super) fn is_declined_too_often(&self) -> bool {
        self.lock().declined > MAX_DECLINED
    }

    /// Keeps an answer with which a target reported a failure, for a caller that gets no other one.
    pub(super) fn on_failure(&self, response: Response<ProxyBody>) {
        self.lock().last_failure = Some(response);
    }

    pub(super) fn take_failure(&self) -> Option<Response<ProxyBody>> {
        self.lock().last_failure.take()
    }

    fn lock(&self) -> MutexGuard<'_, Sends> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
