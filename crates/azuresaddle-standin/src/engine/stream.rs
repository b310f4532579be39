//! One stream of an engine.

use std::sync::Arc;

use azuresaddle_core::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::Answer;

/// State of a stream.
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
    /// Tokens that are ready to be read.
    pub(super) generated_tokens: u64,
    /// Index of the next token that its reader has not taken.
    pub(super) read_tokens: u64,
    /// Number of the connection that reads it; older ones have to end.
    pub(super) reader: u64,
    /// Told when a token is ready or read.
    pub(super) changed: Arc<Notify>,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    Prefilling,
    Decoding,
    /// All tokens are ready and the memory is free; kept for readers until then.
    Finished(Instant),
}

impl Stream {
    pub(super) fn holds_memory(&self) -> bool {
        !matches!(self.stage, Stage::Finished(_))
    }
}
