//! When a caller that does not read its answer is disconnected.

use std::time::Duration;

use tokio::time::Instant;

use super::event_buffer::BufferState;

/// Longest time for which a caller may read nothing while its target is not read because of it. Targets abort an answer
/// that stays unread for some seconds, and until then the stream takes up an engine that other callers need.
pub(crate) const MAX_READ_PAUSE: Duration = Duration::from_millis(1500);

/// What decides when the caller of an answer is disconnected.
#[derive(Clone, Debug)]
pub(crate) struct AnswerWatch {
    /// Id of the attempt, copied so that the head of the request is not kept in memory.
    pub(crate) request: Option<Box<str>>,
    /// Until when a buffered answer is kept for its caller.
    pub(super) keep_until: Instant,
    /// The buffer, if the answer is a stream.
    pub(super) buffer: Option<BufferState>,
}

impl AnswerWatch {
    /// When to disconnect a caller that has read nothing since `blocked_since`.
    pub(crate) fn disconnect_at(&self, blocked_since: Instant) -> Instant {
        let kept = self.keep_until.max(blocked_since + MAX_READ_PAUSE);
        match self.buffer.as_ref().and_then(BufferState::paused_since) {
            Some(paused_since) => kept.min(paused_since.max(blocked_since) + MAX_READ_PAUSE),
            None => kept,
        }
    }
}
