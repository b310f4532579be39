//! Events of one stream that wait for its caller, bounded by their bytes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use azuresaddle_core::byte_budget::HeldBytes;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::answer_bytes::AnswerBytes;

/// Most bytes of a stream that wait for its caller: several complete answers, so that a caller that pauses for some
/// seconds does not stall the engine.
pub(super) const MAX_WAITING_BYTES: usize = 256 << 10;

/// Most bytes that one part of a target's answer takes; a connection reads less than 8 KB at a time.
const MAX_PART_BYTES: usize = (8 << 10) + PART_COST_BYTES;

/// Memory that each part of an answer takes in addition to its bytes, for its permit and its place in the queues. Events
/// may be as short as twenty bytes and arrive one at a time.
pub(super) const PART_COST_BYTES: usize = 192;

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallerGone;

/// A part of a relayed answer.
#[derive(Debug)]
pub(super) enum BodyChunk {
    /// Bytes to forward.
    Data(AnswerBytes),
    /// The answer is complete. If the channel closes without this, the answer is aborted.
    End,
}

/// Creates the buffer of one stream.
pub(super) fn event_buffer() -> (EventSender, EventReceiver) {
    // The bytes are bounded by `EventSender::room`.
    let (tx, rx) = mpsc::unbounded_channel();
    let state = BufferState::default();
    let sender = EventSender {
        tx,
        state: state.clone(),
    };
    (sender, EventReceiver { rx, state })
}

/// State of a buffer; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferState(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Bytes in the buffer and in the caller's connection, which has not written them yet.
    waiting: AtomicUsize,
    taken: Notify,
    /// Since when the target is not read because bytes wait for the caller.
    paused_since: Mutex<Option<Instant>>,
}

impl BufferState {
    /// Since when the target is not read because bytes wait for the caller; `None` if it is read.
    pub(super) fn paused_since(&self) -> Option<Instant> {
        *self.lock()
    }

    /// Marks the target as not read until the guard is dropped.
    fn pause(&self) -> PauseGuard<'_> {
        *self.lock() = Some(Instant::now());
        PauseGuard(self)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        let since = &self.0.paused_since;
        since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks the target as not read until dropped.
struct PauseGuard<'a>(&'a BufferState);

impl Drop for PauseGuard<'_> {
    fn drop(&mut self) {
        *self.0.lock() = None;
    }
}

/// Counts bytes as waiting until dropped.
#[derive(Debug)]
pub(super) struct WaitingGuard {
    state: BufferState,
    bytes: usize,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.state
            .0
            .waiting
            .fetch_sub(self.bytes, Ordering::Relaxed);
        self.state.0.taken.notify_one();
    }
}

/// Adds events to a buffer.
#[derive(Debug)]
pub(super) struct EventSender {
    tx: mpsc::UnboundedSender<BodyChunk>,
    state: BufferState,
}

impl EventSender {
    /// Waits until the next bytes of the target fit. Returns whether it had to wait.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub(super) async fn room(&self) -> Result<bool, CallerGone> {
        if self.has_room() {
            return Ok(false);
        }
        let _paused = self.state.pause();
        while !self.has_room() {
            tokio::select! {
                () = self.tx.closed() => return Err(CallerGone),
                () = self.state.0.taken.notified() => {}
            }
        }
        Ok(true)
    }

    /// Waits for `room`, which depends on other callers as well. The target is not read meanwhile.
    pub(super) async fn paused<T>(&self, room: impl Future<Output = T>) -> Result<T, CallerGone> {
        let _paused = self.state.pause();
        tokio::select! {
            () = self.tx.closed() => Err(CallerGone),
            room = room => Ok(room),
        }
    }

    /// Adds bytes that end with a complete event.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub(super) fn push(&self, bytes: HeldBytes) -> Result<(), CallerGone> {
        let count = bytes.len() + PART_COST_BYTES;
        self.state.0.waiting.fetch_add(count, Ordering::Relaxed);
        let waiting = WaitingGuard {
            state: self.state.clone(),
            bytes: count,
        };
        let data = BodyChunk::Data(AnswerBytes::waiting(bytes, waiting));
        self.tx.send(data).map_err(|_| CallerGone)
    }

    /// Marks the answer as complete.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub(super) fn end(&self) -> Result<(), CallerGone> {
        self.tx.send(BodyChunk::End).map_err(|_| CallerGone)
    }

    fn has_room(&self) -> bool {
        self.state.0.waiting.load(Ordering::Relaxed) + MAX_PART_BYTES <= MAX_WAITING_BYTES
    }
}

/// Takes events from a buffer.
#[derive(Debug)]
pub(super) struct EventReceiver {
    rx: mpsc::UnboundedReceiver<BodyChunk>,
    state: BufferState,
}

impl EventReceiver {
    pub(super) fn state(&self) -> &BufferState {
        &self.state
    }

    pub(super) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        self.rx.poll_recv(cx)
    }
}
