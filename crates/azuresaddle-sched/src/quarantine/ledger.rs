//! What is held against which request.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::{Crash, Learned, TargetLife};
use super::record::{Record, Standing};

/// Most requests that something is held against, about 0.8 MB: the streams of 250 targets that end within ten
/// minutes, 16 each.
const MAX_RECORDS: usize = 4096;

/// What is held against requests, as one node knows it.
///
/// Nodes that tell each other all crashes hold the same against a request, in whatever order they hear of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
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
        record.on_crash(now, crash.target)
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
        let record = self.records.get(&request);
        record.map_or(Standing::Clear, |r| r.standing(now))
    }

    /// Crashes of a request that no good end has settled.
    pub fn crashes_of(&self, request: Fingerprint) -> Vec<Crash> {
        let record = self.records.get(&request);
        record.map_or(Vec::new(), |r| crashes(request, r).collect())
    }

    /// Crashes of all requests in quarantine, for a node that may not know of them.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let all = self.records.iter();
        all.filter(move |(_, r)| r.standing(now).is_quarantined())
            .flat_map(|(request, r)| crashes(*request, r))
    }

    /// Forgets what no longer matters.
    pub fn forget_old(&mut self, now: Instant) {
        self.records.retain(|_, r| now < r.ends_at());
    }

    /// Number of requests that something is known of.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets the record that ends first; one in quarantine ends after those that are not.
    fn make_room(&mut self, now: Instant) {
        self.forget_old(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, r)| r.ends_at());
        if let Some(request) = first.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}

fn crashes(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Crash> {
    let lives = record.unsettled();
    lives.map(move |target| Crash {
        fingerprint,
        target,
    })
}
