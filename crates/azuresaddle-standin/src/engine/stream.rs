//! One stream of an engine.

use std::sync::Arc;

use azuresaddle_core::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::Answer;

/// A stream and its progress.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) node: HostName,
    pub(super) account: ClientAccount,
    pub(super) answer: Answer,
    pub(super) priority: i8,
    pub(super) arrival_number: u64,
    pub(super) prompt_tokens: u64,
    pub(super) prefix: Vec<u64>,
    pub(super) members: u32,
    pub(super) memory_tokens: u64,
    pub(super) stage: Stage,
    /// Number of tokens that are ready to be read, including those the caller had before the start.
    pub(super) generated_tokens: u64,
    /// Index of the next token that the reader has not read yet.
    pub(super) read_tokens: u64,
    /// Number of the connection that currently reads the stream; older connections end.
    pub(super) reader: u64,
    /// Notified when a token is ready, the reader is replaced or the stream is removed.
    pub(super) changed: Arc<Notify>,
}

/// Processing stage of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    Prefilling,
    Decoding,
    /// All tokens are ready and the memory is released. Holds the time at which the stream
    /// finished; readers can use it for `FINISHED_RETENTION` after that.
    Finished(Instant),
}

impl Stream {
    pub(super) fn holds_memory(&self) -> bool {
        !matches!(self.stage, Stage::Finished(_))
    }
}
