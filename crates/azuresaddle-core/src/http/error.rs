//! Failures of an HTTP exchange, separated by whether the request may have been sent.

use std::io;

use hyper::StatusCode;
use thiserror::Error;

use super::request_sender::SendError;
use crate::verdict::Verdict;

/// Why an HTTP exchange failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// No connection was made in time, so nothing was sent.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The connection broke after the request may have been sent, or the head of the response is not valid.
    #[error("exchange failed: {0}")]
    Exchange(#[from] SendError),
    /// No response came in time.
    #[error("no response in time")]
    Timeout,
    /// The response has an unexpected status.
    #[error("status {status}: {body}")]
    Status {
        /// Status of the response.
        status: StatusCode,
        /// Start of the response's body.
        body: String,
    },
    /// The response's body did not arrive.
    #[error("bad body: {0}")]
    Body(String),
    /// The response's body is too long or has another form; the same request would get the same.
    #[error("unreadable body: {0}")]
    Unreadable(String),
}

impl HttpError {
    /// Whether the server may have executed the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::ConnectTimeout => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}
