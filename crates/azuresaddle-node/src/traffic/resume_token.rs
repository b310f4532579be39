//! Token with which a caller continues an answer through another node.

use std::fmt::Write;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Everything that another node needs to continue an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ResumeToken {
    pub(super) account: ClientAccount,
    pub(super) pool: PoolId,
    pub(super) stream: StreamId,
    /// Host of the lead target; its address comes from the host list.
    pub(super) target: HostName,
    pub(super) epoch: Epoch,
}

impl ResumeToken {
    /// Encodes the token as hexadecimal text, which is safe in headers.
    pub(super) fn encode(&self) -> String {
        let json = serde_json::to_vec(self).expect("a token serializes");
        let mut text = String::with_capacity(json.len() * 2);
        for byte in json {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Decodes a token; returns `None` if the text is not one.
    pub(super) fn decode(text: &str) -> Option<Self> {
        if !text.is_ascii() || !text.len().is_multiple_of(2) {
            return None;
        }
        let byte = |i| u8::from_str_radix(&text[i..i + 2], 16).ok();
        let json: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
        serde_json::from_slice(&json?).ok()
    }
}
