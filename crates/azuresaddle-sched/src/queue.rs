//! Queue of requests that wait for a reservation.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::class::Class;
use crate::fair_clock::FairTag;
use crate::reservation_request::ReservationRequest;

new_key_type! {
    /// Key of a waiting request.
    pub(crate) struct WaitKey;
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) request: ReservationRequest,
    pub(crate) class: Class,
    /// Expected prefill time at the reference rate, using the best cached prefix at arrival.
    pub(crate) prefill: Duration,
    /// Latest start that still meets the deadline.
    pub(crate) start_by: Instant,
    pub(crate) tag: FairTag,
    rank: Rank,
}

/// Order in a class: due time, then arrival.
type Rank = (Instant, u64);

/// All waiting requests, indexed by class, attempt and latest start.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: SlotMap<WaitKey, Waiting>,
    by_class: [BTreeMap<Rank, WaitKey>; 2],
    by_stream: HashMap<StreamId, WaitKey>,
    by_start: BTreeSet<(Instant, WaitKey)>,
    backlog: [Duration; 2],
    arrivals: u64,
}

/// A request to be added to the queue.
pub(crate) struct QueueEntry {
    pub(crate) request: ReservationRequest,
    pub(crate) class: Class,
    pub(crate) prefill: Duration,
    pub(crate) start_by: Instant,
    pub(crate) tag: FairTag,
    /// Time by which the request should start; determines its place in the queue.
    pub(crate) due: Instant,
}

impl Queue {
    pub(crate) fn push(&mut self, entry: QueueEntry) -> WaitKey {
        let QueueEntry {
            request,
            class,
            prefill,
            start_by,
            tag,
            due,
        } = entry;
        self.arrivals += 1;
        let rank = (due, self.arrivals);
        let stream = request.stream;
        let key = self.waiting.insert(Waiting {
            request,
            class,
            prefill,
            start_by,
            tag,
            rank,
        });
        self.by_class[class.index()].insert(rank, key);
        self.by_stream.insert(stream, key);
        self.by_start.insert((start_by, key));
        self.backlog[class.index()] += prefill;
        key
    }

    pub(crate) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(key)?;
        let class = waiting.class.index();
        self.by_class[class].remove(&waiting.rank);
        self.by_stream.remove(&waiting.request.stream);
        self.by_start.remove(&(waiting.start_by, key));
        self.backlog[class] = self.backlog[class].saturating_sub(waiting.prefill);
        Some(waiting)
    }

    pub(crate) fn get(&self, key: WaitKey) -> Option<&Waiting> {
        self.waiting.get(key)
    }

    pub(crate) fn find(&self, stream: StreamId) -> Option<WaitKey> {
        self.by_stream.get(&stream).copied()
    }

    /// Waiting requests of a class, in queue order.
    pub(crate) fn in_order(&self, class: Class) -> impl Iterator<Item = WaitKey> {
        self.by_class[class.index()].values().copied()
    }

    /// The request with the earliest latest start, if that has passed.
    pub(crate) fn first_overdue(&self, now: Instant) -> Option<WaitKey> {
        let (start_by, key) = self.by_start.first()?;
        (*start_by < now).then_some(*key)
    }

    /// The earliest `start_by` of all waiting requests.
    pub(crate) fn next_start_by(&self) -> Option<Instant> {
        self.by_start.first().map(|(start_by, _)| *start_by)
    }

    /// Total expected prefill time of the waiting requests of a class.
    pub(crate) fn backlog(&self, class: Class) -> Duration {
        self.backlog[class.index()]
    }

    pub(crate) fn is_class_empty(&self, class: Class) -> bool {
        self.by_class[class.index()].is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
