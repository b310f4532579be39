//! Requests that crash every target that runs them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_platform::headers;
use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::time::Instant;

use super::target::Target;

/// Time from the start of the run to the crash of the target.
const CRASH_AFTER: Duration = Duration::from_millis(5);

/// Time between closing the listener of a crashing target and breaking its open connections. A caller whose
/// connection breaks then finds the port closed, as after the end of a process.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// What makes a target crash that runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CrashCause {
    /// The body of the request.
    Body(Bytes),
    /// The id of a part of its prompt.
    PromptPart(String),
}

/// Causes of crashes, with the times at which requests with each of them reached a target; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<HashMap<CrashCause, Vec<Instant>>>>);

impl CrashingRequests {
    /// Makes every target crash that runs a request with this body.
    pub fn add(&self, body: Bytes) {
        self.lock().entry(CrashCause::Body(body)).or_default();
    }

    /// Makes every target crash that runs a request whose prompt holds this part.
    pub fn add_prompt_part(&self, id: &str) {
        let cause = CrashCause::PromptPart(id.to_owned());
        self.lock().entry(cause).or_default();
    }

    /// Returns how many targets requests with this body have reached.
    pub fn targets_reached(&self, body: &Bytes) -> usize {
        let cause = CrashCause::Body(body.clone());
        self.lock().get(&cause).map_or(0, Vec::len)
    }

    /// Returns, for each cause, the times at which requests with it reached a target.
    pub fn arrival_times(&self) -> Vec<(CrashCause, Vec<Instant>)> {
        let causes = self.lock();
        let times = causes.iter();
        times
            .map(|(cause, at)| (cause.clone(), at.clone()))
            .collect()
    }

    /// Schedules a crash of the target and returns `true` if the body or a part of the prompt belongs to a crashing
    /// request.
    pub(super) fn crash_if_listed(
        &self,
        target: &Arc<Target>,
        map: &HeaderMap,
        body: &Bytes,
    ) -> bool {
        let parts = map.get(headers::PROMPT_PARTS);
        let parts = parts.map(headers::parse_shared_parts).unwrap_or_default();
        let parts = parts.into_iter().map(str::to_owned);
        let mut causes = parts
            .map(CrashCause::PromptPart)
            .chain([CrashCause::Body(body.clone())]);
        let mut listed = self.lock();
        let Some(cause) = causes.find(|cause| listed.contains_key(cause)) else {
            return false;
        };
        let times = listed.get_mut(&cause).expect("found above");
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

    fn lock(&self) -> MutexGuard<'_, HashMap<CrashCause, Vec<Instant>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
