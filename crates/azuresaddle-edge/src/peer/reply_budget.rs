//! Limits the bandwidth that complete answers to other nodes take.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use tokio::time::Instant;

/// Share of the link for complete answers; the rest stays for callers and targets.
const LINK_SHARE: f64 = 0.5;

/// Longest time that accepted answers may take to send; below the timeout of the nodes that wait.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Largest size of the accepted answers that are not sent yet, in bytes, which bounds the memory of a
/// node with a fast link: an eighth of what control may take, for the answers and their copies.
const MAX_PENDING_BYTES: f64 = 4e6;

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
        let takes = saturating_seconds(bytes as f64 / self.bytes_per_s);
        let sent_at = begin + takes;
        let pending_bytes = (sent_at - now).as_secs_f64() * self.bytes_per_s;
        let fits = sent_at <= now + MAX_BACKLOG && pending_bytes <= MAX_PENDING_BYTES;
        let is_accepted = is_idle || fits;
        if is_accepted {
            self.sent_at = sent_at;
        }
        is_accepted
    }
}
