//! Identifier of one attempt of a request on a target.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::request_id::{ParseRequestIdError, RequestId};

/// Identifies one attempt of a request; each retry on another target has a higher number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId {
    /// The request that is attempted.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
}

impl StreamId {
    /// The first attempt of a request.
    pub fn first(request: RequestId) -> Self {
        Self {
            request,
            attempt: 0,
        }
    }

    /// The attempt after this one; the number stays at its maximum once it is reached.
    pub fn retry(self) -> Self {
        Self {
            request: self.request,
            attempt: self.attempt.saturating_add(1),
        }
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.attempt)
    }
}

impl fmt::Debug for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for StreamId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, attempt) = text.split_once('-').ok_or(ParseRequestIdError)?;
        Ok(Self {
            request: request.parse()?,
            attempt: attempt.parse().map_err(|_| ParseRequestIdError)?,
        })
    }
}

impl Serialize for StreamId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for StreamId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
