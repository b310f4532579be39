//! Recent successful runs of requests without any known crash.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::SuccessfulRun;

/// Time for which a successful run is remembered: long enough for several runs of a request that callers repeat all the
/// time.
const RETENTION: Duration = Duration::from_secs(30);

/// Time that the target must survive after a run for the run to count as successful.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(100);

/// Maximum number of runs remembered per request.
const MAX_RUNS: usize = 4;

/// Maximum number of requests and parts of prompts remembered, about 1 MB; nearly all requests are sent only once.
const MAX_REQUESTS: usize = 4096;

/// Number of entries left once a full table is cleaned up: those with the latest runs, as popular parts have.
const KEPT_REQUESTS: usize = MAX_REQUESTS / 2;

/// A completed run.
#[derive(Clone, Copy, Debug)]
struct Run {
    at: Instant,
    run: u64,
    /// Hash of the target's name and start.
    target: u64,
}

impl Run {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < RETENTION
    }
}

/// Recent successful runs, used when the first crash under a request is reported.
///
/// If several targets crash within a second, runs after the first crash would come too late to count for the request.
#[derive(Debug, Default)]
pub struct RecentSuccessfulRuns(HashMap<Fingerprint, VecDeque<Run>>);

impl RecentSuccessfulRuns {
    /// Records a completed run.
    pub fn record(&mut self, now: Instant, run: SuccessfulRun, target: u64) {
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

    /// Removes the runs of a request and returns those that their targets survived.
    ///
    /// `has_crashed` tells whether a target, given by its hash, is known to have crashed since.
    pub fn take(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        has_crashed: impl Fn(u64) -> bool,
    ) -> Vec<SuccessfulRun> {
        let runs = self.0.remove(&fingerprint).unwrap_or_default();
        let is_evidence = |run: &Run| {
            let age = now.saturating_duration_since(run.at);
            (SURVIVAL_TIME..RETENTION).contains(&age) && !has_crashed(run.target)
        };
        let runs = runs.into_iter().filter(is_evidence);
        runs.map(|run| SuccessfulRun {
            fingerprint,
            run: run.run,
        })
        .collect()
    }

    /// Whether a recent run of a request is remembered.
    pub(super) fn has_run(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let last = self.0.get(&fingerprint).and_then(VecDeque::back);
        last.is_some_and(|run| run.is_fresh(now))
    }

    fn evict(&mut self, now: Instant) {
        let is_fresh = |run: &Run| run.is_fresh(now);
        self.0.retain(|_, runs| runs.back().is_some_and(is_fresh));
        if self.0.len() < MAX_REQUESTS {
            return;
        }
        let last_runs = self.0.values().filter_map(|runs| runs.back());
        let mut last_runs: Vec<Instant> = last_runs.map(|run| run.at).collect();
        let oldest_kept = last_runs.len() - KEPT_REQUESTS;
        let (_, oldest_kept, _) = last_runs.select_nth_unstable(oldest_kept);
        let oldest_kept = *oldest_kept;
        self.0
            .retain(|_, runs| runs.back().is_some_and(|run| run.at > oldest_kept));
    }
}
