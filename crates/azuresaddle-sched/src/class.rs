//! Classes by length.

use serde::{Deserialize, Serialize};

/// Class of a request by its expected prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A prefill short enough not to delay others by much.
    Short,
    /// A prefill that others would have to wait for.
    Long,
}

impl Class {
    /// Both classes, short first.
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Index in arrays by class.
    pub fn index(self) -> usize {
        self as usize
    }
}
