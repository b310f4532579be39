//! Server-sent events towards callers.
//!
//! An answer is one `start` event, `token` events in order, and one `end` or `error` event.

use azuresaddle_core::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// First event of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartEvent {
    /// The request.
    pub request: RequestId,
    /// Send this to any node to go on with the answer.
    pub resume_token: String,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenText {
    /// The request.
    pub request: RequestId,
    /// Position in the answer, from 0.
    pub index: u64,
    /// Text of the token.
    pub token: String,
}

/// Last event of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndEvent {
    /// The request.
    pub request: RequestId,
    /// Number of tokens of the whole answer.
    pub tokens: u64,
}

/// An event towards a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// The answer begins, or goes on after a resume.
    Start(StartEvent),
    /// One token.
    Token(TokenText),
    /// The answer is whole.
    End(EndEvent),
    /// The answer stays incomplete.
    Error(Problem),
}

impl CallerEvent {
    /// The event's lines.
    pub fn to_bytes(&self) -> Bytes {
        match self {
            Self::Start(event) => encode_event("start", event),
            Self::Token(event) => encode_event("token", event),
            Self::End(event) => encode_event("end", event),
            Self::Error(problem) => encode_event("error", problem),
        }
    }

    /// Reads an event from its name and data; `None` for what is no event of an answer.
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
