//! What speaks for and against one request: a sequential test between two hypotheses.
//!
//! A sound request is taken to be on a target that ends in one of twenty runs, one that ends its targets in nine of
//! ten. Each crash then multiplies the odds against it by 18, and each good end those for it by 9.5. Counted in crashes,
//! a good end weighs three quarters. At three crashes the odds are 5,800 to 1; a request that ends nine of ten targets
//! is there after 3.7 crashes in the mean, and a sound one that is sent four times with chance 0.0005.

/// Weight of a good end against that of a crash.
const SUCCESSFUL_RUN_WEIGHT: f64 = 0.75;

/// Weight from which on a request is in quarantine, where targets end for no other reason. Each crash costs its
/// target's other streams.
const QUARANTINE_WEIGHT: f64 = 3.0;

/// Weight from which on a request is handled as a suspect: one crash that no good end speaks against.
const SUSPECT_WEIGHT: f64 = 1.0;

/// Weight from which on nothing else excuses a request: neither that other targets end, nor another request beside it.
const CERTAIN_WEIGHT: f64 = 6.0;

/// Crashes from which on a request is in quarantine whatever its good ends are: it may end one kind of target only.
const CRASH_LIMIT: usize = 16;

/// Targets that ended without the request, and without another that explains it, for which one more crash is asked:
/// where targets end by themselves, one that was on three of them proves less.
const UNEXPLAINED_CRASHES_PER_EXTRA: usize = 2;

/// Most crashes that are asked more. A request that is sent four times and is on four targets that end by themselves
/// is not stopped then, and one that ends its targets ends two more.
const MAX_EXTRA_CRASHES: usize = 2;

/// What speaks against a request, and for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Evidence {
    /// Targets that ended while they had it.
    pub(super) crashes: usize,
    /// Runs that came to a good end.
    pub(super) successful_runs: usize,
}

impl Evidence {
    /// How much speaks against the request, in crashes; negative where more speaks for it.
    pub(super) fn weight(self) -> f64 {
        self.crashes as f64 - SUCCESSFUL_RUN_WEIGHT * self.successful_runs as f64
    }

    /// Whether the request is a suspect.
    pub(super) fn is_suspicious(self) -> bool {
        self.weight() >= SUSPECT_WEIGHT
    }

    /// Crashes beyond those after which nothing excuses the request; `None` where there are fewer.
    pub(super) fn crashes_past_certainty(self) -> Option<u32> {
        let beyond = self.weight() - CERTAIN_WEIGHT;
        (beyond >= 0.0).then_some(beyond as u32)
    }

    /// Whether one copy of the request is tried again soon: some target has survived it, and it has not cost too many.
    pub(super) fn allows_short_quarantine(self) -> bool {
        self.successful_runs > 0 && self.crashes < CRASH_LIMIT
    }

    /// Crashes beyond those that it takes for quarantine, where some targets ended for no reason that is known;
    /// `None` where it takes more.
    pub(super) fn crashes_past_quarantine(self, unexplained_crashes: usize) -> Option<u32> {
        let more = (unexplained_crashes / UNEXPLAINED_CRASHES_PER_EXTRA).min(MAX_EXTRA_CRASHES);
        let beyond = self.weight() - QUARANTINE_WEIGHT - more as f64;
        if beyond >= 0.0 {
            return Some(beyond as u32);
        }
        self.crashes
            .checked_sub(CRASH_LIMIT)
            .map(|beyond| beyond as u32)
    }
}
