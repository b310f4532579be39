//! Errors of calls to an engine.

use azuresaddle_core::http::HttpError;
use azuresaddle_core::prelude::*;
use thiserror::Error;

/// Why a call to an engine failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was made.
    #[error("target unreachable: {0}")]
    Unreachable(String),
    /// The engine refused the request and did nothing.
    #[error("target refused: {0}")]
    Refused(String),
    /// The engine runs the stream already.
    #[error("the target runs the stream already")]
    Duplicate,
    /// Another node reads the stream.
    #[error("another node reads the stream")]
    Displaced,
    /// The engine does not know the stream.
    #[error("the target does not know the stream")]
    UnknownStream,
    /// The connection broke or timed out after the request was sent.
    #[error("no answer from the target: {0}")]
    Unknown(String),
}

impl EngineError {
    /// Whether the engine may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

impl From<HttpError> for EngineError {
    fn from(e: HttpError) -> Self {
        match e.verdict() {
            Verdict::NotRun => Self::Unreachable(e.to_string()),
            _ => Self::Unknown(e.to_string()),
        }
    }
}
