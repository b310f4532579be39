//! What targets ran, for checks of at most once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Runs of one attempt of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptRuns {
    /// How often a target began to work on it.
    pub count: u32,
    /// Client account that the target was told.
    pub account: Option<String>,
    /// Whether the caller's key reached a target.
    pub has_key: bool,
    /// Services that ran it.
    pub services: Vec<String>,
}

/// All runs by attempt; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, AttemptRuns>>>);

impl Runs {
    /// Notes that a target begins to work on an attempt.
    pub(super) fn record_run(
        &self,
        attempt: &str,
        service: &str,
        account: Option<&str>,
        key: bool,
    ) {
        let mut runs = self.lock();
        let run = runs.entry(attempt.to_owned()).or_default();
        run.count += 1;
        run.account = account.map(str::to_owned);
        run.has_key |= key;
        run.services.push(service.to_owned());
    }

    /// Runs of an attempt.
    pub fn of(&self, attempt: &str) -> AttemptRuns {
        self.lock().get(attempt).cloned().unwrap_or_default()
    }

    /// Number of attempts that ran.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing ran.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, AttemptRuns>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
