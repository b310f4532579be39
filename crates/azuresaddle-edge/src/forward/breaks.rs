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
const KEPT: Duration = Duration::from_secs(10);

/// Most breaks that are remembered; a switch that resets connections breaks hundreds at once, and nothing comes of
/// them.
const MAX_BREAKS: usize = 256;

/// A send that brought no answer.
#[derive(Clone, Debug)]
pub(super) struct Break {
    /// The caller's attempt.
    pub(super) attempt: String,
    pub(super) request: Fingerprint,
    pub(super) target: TargetEntry,
    pub(super) sent_at: Instant,
    pub(super) broken_at: Instant,
}

/// Sends without an answer to targets that did not look as if they had ended: something before them takes
/// connections in their stead, or nothing answers there at all.
#[derive(Debug, Default)]
pub(super) struct Breaks(Mutex<VecDeque<Break>>);

impl Breaks {
    /// Remembers a break for a while.
    pub(super) fn push(&self, broken: Break) {
        let mut breaks = self.lock();
        if breaks.len() >= MAX_BREAKS {
            breaks.pop_front();
        }
        breaks.push_back(broken);
    }

    /// Takes those whose target has started again, by what is known of the targets now.
    pub(super) fn take_ended(&self, targets: &TargetSet) -> Vec<Break> {
        let mut breaks = self.lock();
        let now = Instant::now();
        breaks.retain(|b| now - b.broken_at < KEPT);
        let (ended, others) = breaks.drain(..).partition(|b| has_ended(b, targets));
        *breaks = others;
        ended.into()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Break>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the target has a later start, or another one has its address.
fn has_ended(broken: &Break, targets: &TargetSet) -> bool {
    let target = &broken.target;
    let is_other = |t: &TargetEntry, addr: SocketAddr| t.addr == addr && t.id != target.id;
    let mut of_service = targets.of_service(&target.service).iter();
    targets.has_restarted(target) || of_service.any(|t| is_other(t, target.addr))
}
