//! Evidence for and against one request, or one part of prompts: a sequential probability ratio test between two
//! hypotheses.
//!
//! The target of a harmless request is assumed to crash in one of twenty runs, that of a harmful one in nine of ten.
//! Each crash then multiplies the odds against the request by 18, and each successful run the odds for it by 9.5, so a
//! successful run weighs three quarters of a crash. Three crashes give odds of 5,800 to 1: a request that crashes nine
//! of ten targets gets there after 3.7 crashes on average, a harmless one that is sent four times with probability
//! 0.0005.
//!
//! A harmful part crashes nearly every target that begins to answer a request with it, whatever else the request holds:
//! 99 of 100, against at most half of the runs of a harmless one beside a cause. Each crash then doubles the odds against
//! the part and each successful run divides them by 50, so a successful run weighs six crashes.

use azuresaddle_core::prelude::*;

/// Weight of a successful run of a request, relative to a crash.
const SUCCESSFUL_RUN_WEIGHT: f64 = 0.75;

/// Weight of a successful run of a request with a part of a prompt, relative to a crash.
const PART_SUCCESSFUL_RUN_WEIGHT: f64 = 6.0;

/// Weight from which on a request is quarantined if targets don't crash for other reasons. A higher value would cost
/// more streams, since each crash also ends all other streams of its target.
const QUARANTINE_WEIGHT: f64 = SUFFICIENT_CRASHES as f64;

/// Crashes that are enough for a quarantine without any successful run.
pub(super) const SUFFICIENT_CRASHES: usize = 3;

/// Weight from which on a request is a suspect: one crash that no successful run offsets.
const SUSPECT_WEIGHT: f64 = 1.0;

/// Weight from which on a request is quarantined even if other targets crash too or another request on the same targets
/// could be the cause.
const CERTAIN_WEIGHT: f64 = 6.0;

/// Crashes from which on a request is quarantined despite any number of successful runs: it may crash only one kind of
/// target.
const CRASH_LIMIT: usize = 16;

/// Number of unexplained crashes of other targets for which one more crash is required: where targets crash on their
/// own, having been on three of them proves less.
const UNEXPLAINED_CRASHES_PER_EXTRA: usize = 2;

/// Maximum number of additional crashes required. With it, a request that is sent four times to targets that crash on
/// their own is not quarantined, and a harmful one crashes two more targets.
const MAX_EXTRA_CRASHES: usize = 2;

/// What the evidence is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    Request,
    PromptPart,
}

impl Subject {
    pub(super) fn of(fingerprint: Fingerprint) -> Self {
        if fingerprint.is_prompt_part() {
            Self::PromptPart
        } else {
            Self::Request
        }
    }
}

/// Evidence against and for a request or a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Evidence {
    pub(super) subject: Subject,
    /// Targets that crashed while they were running it.
    pub(super) crashes: usize,
    /// Runs that completed and that their targets survived.
    pub(super) successful_runs: usize,
}

impl Evidence {
    /// Net evidence against the request, in crashes; negative if the evidence for it prevails.
    pub(super) fn weight(self) -> f64 {
        let run_weight = match self.subject {
            Subject::Request => SUCCESSFUL_RUN_WEIGHT,
            Subject::PromptPart => PART_SUCCESSFUL_RUN_WEIGHT,
        };
        self.crashes as f64 - run_weight * self.successful_runs as f64
    }

    /// Whether the request is a suspect.
    pub(super) fn is_suspicious(self) -> bool {
        self.weight() >= SUSPECT_WEIGHT
    }

    /// Number of crashes beyond [`CERTAIN_WEIGHT`]; `None` below it.
    pub(super) fn crashes_past_certainty(self) -> Option<u32> {
        let beyond = self.weight() - CERTAIN_WEIGHT;
        (beyond >= 0.0).then_some(beyond as u32)
    }

    /// Whether the quarantine is short, so that one copy is retried soon: some target has survived the request, and it
    /// has crashed fewer than [`CRASH_LIMIT`].
    pub(super) fn allows_short_quarantine(self) -> bool {
        self.successful_runs > 0 && !self.reaches_crash_limit()
    }

    /// Whether the request has crashed [`CRASH_LIMIT`] targets. The limit does not apply to parts: a popular one is on
    /// every target that a cause crashes.
    pub(super) fn reaches_crash_limit(self) -> bool {
        self.subject == Subject::Request && self.crashes >= CRASH_LIMIT
    }

    /// Number of crashes beyond those required for quarantine, given the unexplained crashes of other targets; `None`
    /// if more crashes are required.
    pub(super) fn crashes_past_quarantine(self, unexplained_crashes: usize) -> Option<u32> {
        let more = (unexplained_crashes / UNEXPLAINED_CRASHES_PER_EXTRA).min(MAX_EXTRA_CRASHES);
        let beyond = self.weight() - QUARANTINE_WEIGHT - more as f64;
        if beyond >= 0.0 {
            return Some(beyond as u32);
        }
        self.reaches_crash_limit()
            .then(|| (self.crashes - CRASH_LIMIT) as u32)
    }
}
