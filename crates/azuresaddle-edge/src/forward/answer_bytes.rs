//! Bytes of an answer on their way to a caller.

use azuresaddle_core::byte_budget::HeldBytes;
use bytes::Buf;

use super::event_buffer::WaitingGuard;

/// Bytes of an answer, counted until the caller's connection has written them.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    bytes: HeldBytes,
    _waiting: Option<WaitingGuard>,
}

impl AnswerBytes {
    /// Bytes of an answer that is in memory completely.
    pub(super) fn complete(bytes: HeldBytes) -> Self {
        Self {
            bytes,
            _waiting: None,
        }
    }

    /// Bytes that wait in the buffer of a stream.
    pub(super) fn waiting(bytes: HeldBytes, waiting: WaitingGuard) -> Self {
        Self {
            bytes,
            _waiting: Some(waiting),
        }
    }
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
