//! Sends without an answer whose cause is not known yet.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::snapshot::TargetSet;

/// Time for which a break is remembered: a target that ended is back, under its name or another one, within some
/// seconds.
const RETENTION: Duration = Duration::from_secs(10);

/// Most breaks that are remembered; a switch that resets connections breaks hundreds at once, and nothing comes of
/// them.
const MAX_BROKEN_SENDS: usize = 256;

/// A send that brought no answer.
#[derive(Clone, Debug)]
pub(super) struct BrokenSend {
    /// The caller's attempt.
    pub(super) attempt_id: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) target: TargetEntry,
    pub(super) sent_at: Instant,
    pub(super) broken_at: Instant,
}

/// Sends without an answer to targets that did not look as if they had ended: something before them takes
/// connections in their stead, or nothing answers there at all.
#[derive(Debug, Default)]
pub(super) struct BrokenSends(Mutex<VecDeque<BrokenSend>>);

impl BrokenSends {
    /// Remembers a break for a while.
    pub(super) fn push(&self, broken: BrokenSend) {
        let mut broken_sends = self.lock();
        if broken_sends.len() >= MAX_BROKEN_SENDS {
            broken_sends.pop_front();
        }
        broken_sends.push_back(broken);
    }

    /// Takes those whose target has started again, by what is known of the targets now.
    pub(super) fn take_ended(&self, targets: &TargetSet) -> Vec<BrokenSend> {
        let mut broken_sends = self.lock();
        let now = Instant::now();
        broken_sends.retain(|b| now - b.broken_at < RETENTION);
        let (ended, others) = broken_sends.drain(..).partition(|b| has_ended(b, targets));
        *broken_sends = others;
        ended.into()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<BrokenSend>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the target has a later start, or another one has its address.
fn has_ended(broken: &BrokenSend, targets: &TargetSet) -> bool {
    let target = &broken.target;
    let is_other = |t: &TargetEntry, addr: SocketAddr| t.addr == addr && t.id != target.id;
    let mut of_service = targets.of_service(&target.service).iter();
    targets.has_restarted(target) || of_service.any(|t| is_other(t, target.addr))
}
