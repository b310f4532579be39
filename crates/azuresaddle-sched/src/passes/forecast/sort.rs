//! Sorts of prompts by the time that their prefill takes.

/// Longest prefill of a short prompt, in milliseconds. It fits into a pass beside decoding streams.
const MAX_SHORT_MS: f64 = 60.0;

/// Longest prefill of a medium prompt, in milliseconds. One engine prefills it within the time that
/// callers give to the first event of such a prompt.
const MAX_MEDIUM_MS: f64 = 400.0;

/// Sort of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// Its prefill takes a fraction of a pass.
    Short,
    /// Its prefill takes a few passes.
    Medium,
    /// Its prefill must be split over engines.
    Long,
}

impl Sort {
    /// All sorts.
    pub const ALL: [Self; 3] = [Self::Short, Self::Medium, Self::Long];

    /// Sort of a prompt that takes `prefill_ms` milliseconds to prefill on one engine.
    pub fn of_prefill(prefill_ms: f64) -> Self {
        if prefill_ms <= MAX_SHORT_MS {
            Self::Short
        } else if prefill_ms <= MAX_MEDIUM_MS {
            Self::Medium
        } else {
            Self::Long
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
        }
    }

    pub(super) fn index(self) -> usize {
        self as usize
    }
}
