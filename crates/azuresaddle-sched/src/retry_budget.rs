//! Budget of retries.

/// Part of a retry that each first try earns.
const EARNED_PER_FIRST_TRY: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_RETRIES: f64 = 100.0;

/// Retries available at the start.
const INITIAL_RETRIES: f64 = 10.0;

/// Bounds retries to a tenth of the first tries, so that a failure does not multiply the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    pub(crate) fn on_first_try(&mut self) {
        self.available = (self.available + EARNED_PER_FIRST_TRY).min(MAX_RETRIES);
    }

    /// Takes one retry; false where none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
