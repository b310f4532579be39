//! Records which attempts the targets ran, for checks of at-most-once execution.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All runs of one attempt of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptRuns {
    /// How often a target started to run the attempt.
    pub count: u32,
    /// Client account that the node passed to the target, as of the latest run.
    pub account: Option<String>,
    /// Whether the caller's API key was forwarded to a target.
    pub has_key: bool,
    /// Service of each run, in order.
    pub services: Vec<String>,
}

/// Runs of all attempts by attempt id; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, AttemptRuns>>>);

impl Runs {
    /// Records that a target starts to run an attempt.
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

    /// Returns the runs of an attempt; empty if it never ran.
    pub fn of(&self, attempt: &str) -> AttemptRuns {
        self.lock().get(attempt).cloned().unwrap_or_default()
    }

    /// Returns the number of attempts that ran.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no attempt ran.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, AttemptRuns>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
