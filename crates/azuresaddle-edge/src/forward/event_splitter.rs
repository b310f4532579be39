//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes. A stream with a longer one is taken as invalid.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Bytes of the incomplete event that were searched for its end, so that each is searched once.
    searched: usize,
    /// Where the line begins that the search is in.
    line_start: usize,
}

/// Complete events that became available together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompleteEvents {
    /// The events, byte for byte as received.
    pub(super) bytes: Bytes,
    /// Id of each event that has one.
    pub(super) ids: Vec<u64>,
    /// Length of each event in `bytes`.
    pub(super) lengths: Vec<usize>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now; `None` if an event is too long.
    pub(super) fn push(&mut self, chunk: &Bytes) -> Option<CompleteEvents> {
        self.buf.extend_from_slice(chunk);
        let mut ids = Vec::new();
        let mut lengths = Vec::new();
        let mut start = 0;
        while let Some(len) = self.next_event_len(start) {
            if let Some(id) = event_id(&self.buf[start..start + len]) {
                ids.push(id);
            }
            lengths.push(len);
            start += len;
        }
        let bytes = self.buf.split_to(start).freeze();
        if self.buf.len() > MAX_EVENT_BYTES {
            return None;
        }
        Some(CompleteEvents {
            bytes,
            ids,
            lengths,
        })
    }

    /// Length of the event that begins at `start`, including the blank line that ends it; `None` if it is incomplete.
    fn next_event_len(&mut self, start: usize) -> Option<usize> {
        let event = &self.buf[start..];
        while let Some(count) = event[self.searched..].iter().position(|b| *b == b'\n') {
            let at = self.searched + count;
            let line = &event[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                (self.searched, self.line_start) = (0, 0);
                return Some(at + 1);
            }
            (self.searched, self.line_start) = (at + 1, at + 1);
        }
        self.searched = event.len();
        None
    }

    /// Whether the buffer has bytes of an incomplete event.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Number of buffered bytes, which belong to an incomplete event.
    pub(super) fn partial_bytes(&self) -> usize {
        self.buf.len()
    }
}

/// Number in the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
