//! Numbers of tokens that another process states.

use serde::{Deserialize, Deserializer};

/// Upper bound of a number of tokens from outside: far more than any prompt has, and sums of many do not overflow.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Deserializes a number of tokens of another node.
///
/// # Errors
/// If the value is no number.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|tokens| tokens.min(MAX_TOKENS))
}
