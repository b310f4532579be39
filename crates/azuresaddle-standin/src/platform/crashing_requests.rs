//! Requests that crash every target that runs them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::target::Target;

/// Time from the start of the run to the crash of the target.
const CRASH_AFTER: Duration = Duration::from_millis(5);

/// Time between closing the listener of a crashing target and breaking its open connections. A caller whose
/// connection breaks then finds the port closed, as after the end of a process.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Bodies of requests that crash their targets, with the times at which each of them reached a target; cheap
/// to clone.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<HashMap<Bytes, Vec<Instant>>>>);

impl CrashingRequests {
    /// Makes every target crash that runs a request with this body.
    pub fn add(&self, body: Bytes) {
        self.lock().entry(body).or_default();
    }

    /// Returns how many targets requests with this body have reached.
    pub fn targets_reached(&self, body: &Bytes) -> usize {
        self.lock().get(body).map_or(0, Vec::len)
    }

    /// Returns, for each body, the times at which requests with it reached a target.
    pub fn arrival_times(&self) -> Vec<Vec<Instant>> {
        self.lock().values().cloned().collect()
    }

    /// Schedules a crash of the target and returns `true` if `body` belongs to a crashing request.
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
