//! Limits the bandwidth that complete answers to other nodes take.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the link for complete answers; the rest stays for callers and targets.
const LINK_SHARE: f64 = 0.5;

/// Longest time that accepted answers may take to send; below the timeout of the nodes that wait.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Accepts complete answers as long as the link can send them in time.
///
/// When a large fleet starts as a whole, hundreds of nodes ask the first ones that have read the
/// store. Without a limit none of them is answered before its timeout, and the answers fill the
/// node's memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyBudget {
    bytes_per_s: f64,
    /// When the answers accepted so far are sent.
    sent_at: Instant,
}

impl ReplyBudget {
    pub(super) fn new(now: Instant, link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s * LINK_SHARE).max(1.0),
            sent_at: now,
        }
    }

    /// Returns whether an answer of this size may be sent now. One is always accepted while no other
    /// is being sent.
    pub(super) fn accept(&mut self, now: Instant, bytes: usize) -> bool {
        let is_idle = self.sent_at <= now;
        let begin = self.sent_at.max(now);
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let is_accepted = is_idle || begin + takes <= now + MAX_BACKLOG;
        if is_accepted {
            self.sent_at = begin + takes;
        }
        is_accepted
    }
}
