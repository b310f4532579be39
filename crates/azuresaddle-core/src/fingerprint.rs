//! Fingerprint that recognizes repeated requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies a request by a hash of its content, which is the same for all attempts and on all
/// nodes.
///
/// At 128 bits it is unlikely that requests with different content share a fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts, in order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            // The length marks the boundary, so that moving a byte from one part to the next
            // changes the fingerprint.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
