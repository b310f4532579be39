//! Identifier of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Length of a request identifier in text form, in hexadecimal digits.
const TEXT_LEN: usize = 32;

/// Identifies one admitted request; 128 random bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// The text is not a request identifier.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a request id is {TEXT_LEN} hexadecimal digits")]
pub struct ParseRequestIdError;

impl RequestId {
    /// Generates a random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != TEXT_LEN {
            return Err(ParseRequestIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseRequestIdError)
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
