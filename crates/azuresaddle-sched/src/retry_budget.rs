//! Budget of retries.

/// Fraction of a retry that each first attempt earns.
const EARNED_PER_FIRST_ATTEMPT: f64 = 0.1;

/// Maximum number of retries that can accumulate.
const MAX_RETRIES: f64 = 100.0;

/// Retries available at the start.
const INITIAL_RETRIES: f64 = 10.0;

/// Limits retries to a tenth of the first attempts, so that a failure does not multiply the load.
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
    pub(crate) fn on_first_attempt(&mut self) {
        self.available = (self.available + EARNED_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Uses one retry; false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
