//! Splits a byte stream into whole events.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a longer one is no stream of this kind.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
}

/// Whole events that arrived together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WholeEvents {
    /// The bytes as they came.
    pub(super) bytes: Bytes,
    /// Id of each event that has one.
    pub(super) ids: Vec<u64>,
    /// Length of each event in `bytes`.
    pub(super) lengths: Vec<usize>,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now; `None` where an event is too long.
    pub(super) fn push(&mut self, chunk: &Bytes) -> Option<WholeEvents> {
        self.buf.extend_from_slice(chunk);
        let mut ids = Vec::new();
        let mut lengths = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.buf[start..]) {
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
        Some(WholeEvents {
            bytes,
            ids,
            lengths,
        })
    }

    /// Whether bytes of an unfinished event are left.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Length of the first event with its closing blank line, if it is whole.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Number in the event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
