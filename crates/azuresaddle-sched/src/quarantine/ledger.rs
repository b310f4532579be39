//! What is held against which request.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::{Crash, Learned, TargetLife};
use super::record::{Record, Standing};

/// Most requests that something is held against, about 1.2 MB: the streams of 250 targets that end within ten
/// minutes, 16 each.
const MAX_RECORDS: usize = 4096;

/// Records that are forgotten when there is no room, so that each new one does not look through all.
const FORGOTTEN_AT_ONCE: usize = 64;

/// What is held against requests, as one node knows it.
///
/// Nodes that tell each other all crashes hold the same against a request, in whatever order they hear of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Requests that a target had when it ended.
    by_life: HashMap<TargetLife, Vec<Fingerprint>>,
}

impl Quarantine {
    /// Notes that a target ended under a send of this node that began at `sent_at`. The crash, where it is not known
    /// and is held against the request.
    pub fn observe(
        &mut self,
        now: Instant,
        request: Fingerprint,
        target: u64,
        sent_at: Instant,
    ) -> Option<Crash> {
        let known = self.records.get(&request);
        let first = TargetLife { target, number: 0 };
        let crash = Crash {
            fingerprint: request,
            target: known.map_or(first, |r| r.life_of(target, sent_at)),
        };
        (self.on_crash(now, crash) == Learned::New).then_some(crash)
    }

    /// Notes a crash that another node has seen.
    pub fn on_crash(&mut self, now: Instant, crash: Crash) -> Learned {
        if !self.records.contains_key(&crash.fingerprint) && self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let record = self.records.entry(crash.fingerprint);
        let record = record.or_insert_with(|| Record::new(now));
        let learned = record.on_crash(now, crash.target);
        if learned == Learned::New {
            let there = self.by_life.entry(crash.target).or_default();
            there.push(crash.fingerprint);
        }
        learned
    }

    /// Notes that a run of a request came to a good end: no crash was its doing. True where something was held
    /// against it.
    pub fn on_good_end(&mut self, now: Instant, request: Fingerprint) -> bool {
        let was_clear = self.standing(now, request) == Standing::Clear;
        if let Some(record) = self.records.get_mut(&request) {
            record.on_good_end(now);
        }
        !was_clear
    }

    /// How a request stands.
    pub fn standing(&self, now: Instant, request: Fingerprint) -> Standing {
        let Some(record) = self.records.get(&request) else {
            return Standing::Clear;
        };
        match record.standing(now) {
            Standing::Quarantined { .. } if self.has_companion(request, record) => {
                Standing::Suspect
            }
            standing => standing,
        }
    }

    /// Whether another request was on all targets that ended under this one, so that either may be the cause.
    ///
    /// Streams of an engine that ends go on together at the next one, and their callers come back together. The next
    /// crash tells them apart, since suspects don't share an engine then: the cause has one more, and explains
    /// those of the others.
    fn has_companion(&self, request: Fingerprint, record: &Record) -> bool {
        let last = record.unsettled().last();
        let there = last.and_then(|life| self.by_life.get(&life));
        let mut others = there.into_iter().flatten().filter(|r| **r != request);
        others.any(|other| {
            let other = self.records.get(other);
            other.is_some_and(|other| other.has_all_of(record))
        })
    }

    /// Whether one more crash brings a request into quarantine.
    pub fn is_on_last_crash(&self, request: Fingerprint) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(Record::is_on_last_crash)
    }

    /// Crashes of a request that no good end has settled.
    pub fn crashes_of(&self, request: Fingerprint) -> Vec<Crash> {
        let record = self.records.get(&request);
        record.map_or(Vec::new(), |r| crashes(request, r).collect())
    }

    /// Crashes of all requests in quarantine, for a node that may not know of them.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let all = self.records.iter();
        all.filter(move |(request, _)| self.standing(now, **request).is_quarantined())
            .flat_map(|(request, r)| crashes(*request, r))
    }

    /// Forgets what no longer matters.
    pub fn forget_old(&mut self, now: Instant) {
        self.records.retain(|_, r| now < r.ends_at());
        self.forget_lives();
    }

    /// Forgets which requests were on a target, as far as these are forgotten.
    fn forget_lives(&mut self) {
        self.by_life.retain(|_, there| {
            there.retain(|request| self.records.contains_key(request));
            !there.is_empty()
        });
    }

    /// Number of requests that something is known of.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets the records that end first; those in quarantine end after the others.
    fn make_room(&mut self, now: Instant) {
        self.forget_old(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let mut ends: Vec<(Instant, Fingerprint)> = self
            .records
            .iter()
            .map(|(f, r)| (r.ends_at(), *f))
            .collect();
        ends.sort_unstable();
        for (_, request) in ends.iter().take(FORGOTTEN_AT_ONCE) {
            self.records.remove(request);
        }
        self.forget_lives();
    }
}

fn crashes(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Crash> {
    let lives = record.unsettled();
    lives.map(move |target| Crash {
        fingerprint,
        target,
    })
}
