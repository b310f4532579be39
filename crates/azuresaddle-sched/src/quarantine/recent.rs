//! Good ends of requests against which nothing is held yet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::SuccessfulRun;

/// Time for which a good end is remembered: callers that ask the same all the time do so several times in it.
const RETENTION: Duration = Duration::from_secs(30);

/// Time after a good end for which its target must have lived on.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(100);

/// Good ends of one request that are remembered.
const MAX_RUNS: usize = 4;

/// Most requests that are remembered; nearly all come once.
const MAX_REQUESTS: usize = 2048;

/// A run that came to a good end.
#[derive(Clone, Copy, Debug)]
struct Run {
    at: Instant,
    run: u64,
    /// Hash of the target's name and start.
    target: u64,
}

/// Good ends of late, for the moment in which something is first held against a request: where several targets end
/// within a second, what speaks for it would come too late otherwise.
#[derive(Debug, Default)]
pub struct RecentSuccessfulRuns(HashMap<Fingerprint, VecDeque<Run>>);

impl RecentSuccessfulRuns {
    /// Notes a good end.
    pub fn note(&mut self, now: Instant, run: SuccessfulRun, target: u64) {
        if self.0.len() >= MAX_REQUESTS && !self.0.contains_key(&run.fingerprint) {
            self.evict(now);
        }
        let runs = self.0.entry(run.fingerprint).or_default();
        if runs.len() >= MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(Run {
            at: now,
            run: run.run,
            target,
        });
    }

    /// Takes the good ends of a request which their targets survived: `has_ended` tells of a target whether it is known
    /// to have ended since.
    pub fn take(
        &mut self,
        now: Instant,
        request: Fingerprint,
        has_ended: impl Fn(u64) -> bool,
    ) -> Vec<SuccessfulRun> {
        let runs = self.0.remove(&request).unwrap_or_default();
        let is_evidence = |run: &Run| {
            let age = now.saturating_duration_since(run.at);
            (SURVIVAL_TIME..RETENTION).contains(&age) && !has_ended(run.target)
        };
        let runs = runs.into_iter().filter(is_evidence);
        runs.map(|run| SuccessfulRun {
            fingerprint: request,
            run: run.run,
        })
        .collect()
    }

    fn evict(&mut self, now: Instant) {
        let is_fresh = |run: &Run| now.saturating_duration_since(run.at) < RETENTION;
        self.0.retain(|_, runs| runs.back().is_some_and(is_fresh));
        if self.0.len() >= MAX_REQUESTS {
            self.0.clear();
        }
    }
}
