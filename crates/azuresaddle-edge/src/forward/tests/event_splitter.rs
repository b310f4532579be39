//! Tests of splitting chunks into events.

use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::forward::event_splitter::EventSplitter;

const LONG_EVENT_BYTES: usize = 500_000;

/// Many times the time that the search of a long event takes, and a small part of what searching it again after each byte does.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(10);

#[test]
fn incomplete_events_are_buffered() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(&Bytes::from_static(b"id: 1\nda")).unwrap();
    assert!(first.bytes.is_empty());
    assert!(splitter.has_partial_event());
    let rest = splitter
        .push(&Bytes::from_static(b"ta: x\n\nid: 2\ndata: y\n\nid: 3"))
        .unwrap();
    assert_eq!(rest.bytes, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    assert_eq!(rest.ids, [1, 2]);
    assert!(splitter.has_partial_event());
}

#[test]
fn other_fields_and_line_endings_are_preserved() {
    let mut splitter = EventSplitter::default();
    let text = "azuresaddle-weight-versions: 3\r\nid: 7\r\ndata: z\r\n\r\n";
    let events = splitter.push(&Bytes::from_static(text.as_bytes())).unwrap();
    assert_eq!(events.bytes, text);
    assert_eq!(events.ids, [7]);
    assert!(!splitter.has_partial_event());
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    let text: String = (1..40)
        .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
        .collect();
    for size in 1..60 {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut ids = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            let events = splitter.push(&Bytes::copy_from_slice(chunk)).unwrap();
            out.extend_from_slice(&events.bytes);
            ids.extend(events.ids);
        }
        assert_eq!(out, text.as_bytes());
        assert_eq!(ids, (1..40).collect::<Vec<_>>());
    }
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 300_000]);
    let kept = (0..4).all(|_| splitter.push(&chunk).is_some());
    assert!(!kept);
}

/// Guards against work that grows with the square of an event's length, which a target can cause with small chunks.
#[test]
fn a_long_event_in_small_chunks_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let started = Instant::now();
    for _ in 0..LONG_EVENT_BYTES {
        assert!(splitter.push(&Bytes::from_static(b"b")).is_some());
    }
    let end = splitter.push(&Bytes::from_static(b"\n\n")).unwrap();
    assert_eq!(end.lengths, [LONG_EVENT_BYTES + 2]);
    assert!(
        started.elapsed() < MAX_SEARCH_TIME,
        "{:?}",
        started.elapsed()
    );
}
