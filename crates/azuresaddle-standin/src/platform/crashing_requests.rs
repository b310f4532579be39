//! Requests that end the targets that run them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::target::Target;

/// Time from the beginning of the run to the end of the target.
const CRASH_AFTER: Duration = Duration::from_millis(5);

/// Time for which an ending target takes no connection while those that it has still stand, so that a caller
/// whose connection breaks finds its port closed, as after the end of a process.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Bodies of requests that end their targets, with the times at which each has reached one; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<HashMap<Bytes, Vec<Instant>>>>);

impl CrashingRequests {
    /// Makes every target end that runs a request with this body.
    pub fn add(&self, body: Bytes) {
        self.lock().entry(body).or_default();
    }

    /// Number of targets that requests with this body have reached.
    pub fn targets_reached(&self, body: &Bytes) -> usize {
        self.lock().get(body).map_or(0, Vec::len)
    }

    /// When requests with each such body reached targets.
    pub fn arrival_times(&self) -> Vec<Vec<Instant>> {
        self.lock().values().cloned().collect()
    }

    /// Ends a target soon where it begins to run such a request; false for any other.
    pub(super) fn crash_if_listed(&self, target: &Arc<Target>, body: &Bytes) -> bool {
        let mut requests = self.lock();
        let Some(times) = requests.get_mut(body) else {
            return false;
        };
        times.push(Instant::now());
        let target = Arc::clone(target);
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_AFTER).await;
            target.accept_stopped.cancel();
            tokio::time::sleep(CLOSE_DELAY).await;
            target.stopped.cancel();
        });
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Bytes, Vec<Instant>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
