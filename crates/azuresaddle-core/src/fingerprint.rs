//! Fingerprint that recognizes repeated requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies a request by a hash of its content, which is the same for all attempts and on all
/// nodes.
///
/// At 128 bits it is unlikely that requests with different content share a fingerprint. A part of a prompt, which several
/// requests share, has a fingerprint too; the two kinds can be told apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

/// Bits of a fingerprint that hold [`PART_TAG`] for a part of a prompt, and no fingerprint of a request.
const TAG_SHIFT: u32 = 112;

/// Tag of the fingerprints of parts of prompts.
const PART_TAG: u128 = 0x5052;

impl Fingerprint {
    /// Computes the fingerprint of a request from its fields, in order.
    pub fn of(fields: &[&[u8]]) -> Self {
        let hash = Self(hash_of(fields));
        if hash.is_prompt_part() {
            return Self(hash.0 ^ (1 << TAG_SHIFT));
        }
        hash
    }

    /// Computes the fingerprint of a part of a prompt for a service, from the part's id.
    pub fn of_prompt_part(service: &str, id: &str) -> Self {
        let hash = hash_of(&[service.as_bytes(), id.as_bytes()]);
        Self(hash & !(0xffff << TAG_SHIFT) | PART_TAG << TAG_SHIFT)
    }

    /// A number below `count` that differs between fingerprints; 0 if `count` is 0.
    pub fn index_below(self, count: usize) -> usize {
        (self.0 as u64).checked_rem(count as u64).unwrap_or(0) as usize
    }

    /// Whether this is the fingerprint of a part of a prompt, not of a request.
    pub fn is_prompt_part(self) -> bool {
        self.0 >> TAG_SHIFT == PART_TAG
    }
}

fn hash_of(fields: &[&[u8]]) -> u128 {
    let mut hash = Xxh3::new();
    for field in fields {
        // The length marks the boundary, so that moving a byte from one field to the next changes the fingerprint.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.digest128()
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
