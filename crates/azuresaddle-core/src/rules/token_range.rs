//! A range of prompt lengths.

use serde::{Deserialize, Serialize};

/// Prompt lengths from `min` (inclusive) to `max` (exclusive), in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TokenRange {
    /// Minimum length.
    #[serde(default)]
    pub min: u64,
    /// Exclusive upper bound; absent for no upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<u64>,
}

impl TokenRange {
    /// Whether a prompt of this length is in the range.
    pub fn contains(&self, tokens: u64) -> bool {
        tokens >= self.min && self.max.is_none_or(|max| tokens < max)
    }

    /// Whether every length of `other` is in this range.
    pub fn covers(&self, other: &Self) -> bool {
        let upper = match (self.max, other.max) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(mine), Some(theirs)) => theirs <= mine,
        };
        self.min <= other.min && upper
    }

    /// Whether no length is in the range.
    pub fn is_empty(&self) -> bool {
        self.max.is_some_and(|max| max <= self.min)
    }
}
