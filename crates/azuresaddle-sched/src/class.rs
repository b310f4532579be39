//! Request classes by prefill length.

use serde::{Deserialize, Serialize};

/// Class of a request by the length of its expected prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A prefill short enough to delay other requests only slightly.
    Short,
    /// A prefill that would make other requests on its target wait.
    Long,
}

impl Class {
    /// Both classes, short first.
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Index into arrays that hold one element per class.
    pub fn index(self) -> usize {
        self as usize
    }
}
