//! Sends that got no answer, while it is not known whether the target crashed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::snapshot::TargetSet;

/// Time for which a broken send is kept. A target that crashed is back within some seconds, under the same name or
/// another one.
const RETENTION: Duration = Duration::from_secs(10);

/// Most broken sends that are kept. A switch that resets connections breaks hundreds of sends at once, none of which is
/// due to a crash.
const MAX_BROKEN_SENDS: usize = 256;

/// A send that got no answer.
#[derive(Clone, Debug)]
pub(super) struct BrokenSend {
    /// Id of the caller's attempt.
    pub(super) attempt_id: String,
    pub(super) fingerprint: Fingerprint,
    /// Parts of its prompt that the target may have crashed of.
    pub(super) prompt_parts: Vec<Fingerprint>,
    pub(super) target: TargetEntry,
    pub(super) sent_at: Instant,
    pub(super) broken_at: Instant,
}

/// Sends without an answer to targets that did not appear to have crashed: either something in front of the target still
/// accepts connections, or connection attempts get no response.
#[derive(Debug, Default)]
pub(super) struct BrokenSends(Mutex<VecDeque<BrokenSend>>);

impl BrokenSends {
    /// Keeps a broken send; drops the oldest one if there are too many.
    pub(super) fn push(&self, broken: BrokenSend) {
        let mut broken_sends = self.lock();
        if broken_sends.len() >= MAX_BROKEN_SENDS {
            broken_sends.pop_front();
        }
        broken_sends.push_back(broken);
    }

    /// Removes and returns the sends whose target has restarted since, according to `targets`.
    pub(super) fn take_crashed(&self, targets: &TargetSet) -> Vec<BrokenSend> {
        let mut broken_sends = self.lock();
        let now = Instant::now();
        broken_sends.retain(|b| now - b.broken_at < RETENTION);
        let (crashed, others) = broken_sends
            .drain(..)
            .partition(|b| has_crashed(b, targets));
        *broken_sends = others;
        crashed.into()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<BrokenSend>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the target has restarted, or another target now has its address.
fn has_crashed(broken: &BrokenSend, targets: &TargetSet) -> bool {
    let target = &broken.target;
    let is_other = |t: &TargetEntry, addr: SocketAddr| t.addr == addr && t.id != target.id;
    let mut of_service = targets.of_service(&target.service).iter();
    targets.has_restarted(target) || of_service.any(|t| is_other(t, target.addr))
}
