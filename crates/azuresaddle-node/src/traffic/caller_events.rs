//! Server-sent events for callers.
//!
//! An answer consists of a `start` event, `token` events in order, and an `end` or `error` event.
//! Another `start` event follows when the answer continues with a new attempt.

use azuresaddle_core::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Event before the first token of an attempt or of a resumed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartEvent {
    /// The request.
    pub request: RequestId,
    /// Token with which the caller can continue the answer at any node.
    pub resume_token: String,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenText {
    /// The request.
    pub request: RequestId,
    /// Position in the answer, counted from 0.
    pub index: u64,
    /// Text of the token.
    pub token: String,
}

/// Last event of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndEvent {
    /// The request.
    pub request: RequestId,
    /// Number of tokens in the complete answer.
    pub tokens: u64,
}

/// An event sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// The answer begins, or continues with another attempt or after a resume.
    Start(StartEvent),
    /// One token.
    Token(TokenText),
    /// The answer is complete.
    End(EndEvent),
    /// The request failed; the answer stays incomplete.
    Error(Problem),
}

impl CallerEvent {
    /// Encodes the event as the lines of a server-sent event.
    pub fn to_bytes(&self) -> Bytes {
        match self {
            Self::Start(event) => encode_event("start", event),
            Self::Token(event) => encode_event("token", event),
            Self::End(event) => encode_event("end", event),
            Self::Error(problem) => encode_event("error", problem),
        }
    }

    /// Parses an event from its name and data; returns `None` for an unknown name or malformed
    /// data.
    pub fn parse(name: &str, data: &str) -> Option<Self> {
        match name {
            "start" => serde_json::from_str(data).ok().map(Self::Start),
            "token" => serde_json::from_str(data).ok().map(Self::Token),
            "end" => serde_json::from_str(data).ok().map(Self::End),
            "error" => serde_json::from_str(data).ok().map(Self::Error),
            _ => None,
        }
    }
}

fn encode_event<T: Serialize>(name: &str, data: &T) -> Bytes {
    let data = serde_json::to_string(data).expect("events serialize");
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
