//! A target's entry as a mergeable record: nodes that exchange records converge.
//!
//! A store that is rolled back to an older copy loses changes and reuses their revisions. So neither the
//! latest revision nor the latest answer of the store is authoritative. What counts is the latest
//! entry that the target itself wrote, and whether the store has removed it since, in its latest
//! era.

use std::cmp::Ordering;
use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_platform::{DecodeError, StoreItem, StorePosition, decode_target_entry};
use serde::{Deserialize, Serialize};

/// Orders the entries that a target writes, independently of store revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct EntryNumber {
    started: TargetStart,
    sequence: u64,
}

impl EntryNumber {
    fn of(entry: &TargetEntry) -> Self {
        Self {
            started: entry.started,
            sequence: entry.sequence,
        }
    }
}

/// Last known state of a key in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// The store contains the entry.
    Present {
        /// Where the entry was first seen: its earliest era, and the latest revision in that era.
        first: StorePosition,
        /// Where the entry was last seen.
        last: StorePosition,
    },
    /// The entry was removed.
    Removed(StorePosition),
    /// The value is not a valid target entry.
    Unreadable(StorePosition),
}

impl Presence {
    fn position(self) -> StorePosition {
        match self {
            Self::Present { last, .. } => last,
            Self::Removed(at) | Self::Unreadable(at) => at,
        }
    }
}

/// What this node knows of one target key.
///
/// Merging records of a key is commutative: any order gives the same record.
#[derive(Clone, Debug)]
pub(crate) struct TargetRecord {
    key: Arc<str>,
    /// Highest number of any entry of the target, including removed ones.
    number: EntryNumber,
    /// The entry with that number; `None` if none could be decoded.
    entry: Option<Arc<TargetEntry>>,
    /// Latest value of the key, as written to the store; empty if it is not a valid target entry.
    value: Option<Arc<[u8]>>,
    presence: Presence,
}

/// A record as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetUpdate {
    key: String,
    value: Option<Vec<u8>>,
    number: EntryNumber,
    first: StorePosition,
    last: StorePosition,
    is_removed: bool,
}

impl TargetRecord {
    /// Creates a record from a store item. Also returns the error if the value cannot be decoded.
    pub(super) fn from_item(item: StoreItem) -> (Self, Option<DecodeError>) {
        let at = item.position;
        let presence = match item.value {
            Some(_) => Presence::Present {
                first: at,
                last: at,
            },
            None => Presence::Removed(at),
        };
        Self::decode(item.key, item.value, EntryNumber::default(), presence)
    }

    /// Creates a record from another node's update. Also returns the error if the value cannot be
    /// decoded.
    pub(super) fn from_update(update: TargetUpdate) -> (Self, Option<DecodeError>) {
        let presence = if update.is_removed {
            Presence::Removed(update.last)
        } else {
            Presence::Present {
                first: update.first,
                last: update.last,
            }
        };
        Self::decode(update.key, update.value, update.number, presence)
    }

    fn decode(
        key: String,
        value: Option<Vec<u8>>,
        number: EntryNumber,
        presence: Presence,
    ) -> (Self, Option<DecodeError>) {
        let mut record = Self {
            number,
            entry: None,
            value: value.map(Arc::from),
            presence,
            key: Arc::from(key),
        };
        let decoded = record
            .value
            .as_ref()
            .map(|v| decode_target_entry(&record.key, v));
        match decoded {
            Some(Ok(entry)) => {
                record.number = number.max(EntryNumber::of(&entry));
                record.entry = Some(Arc::new(entry));
                (record, None)
            }
            Some(Err(e)) => {
                if !record.is_removed() {
                    record.presence = Presence::Unreadable(presence.position());
                    // Another writer's value may be as long as a message between nodes.
                    record.value = Some(Arc::from([]));
                }
                (record, Some(e))
            }
            None => (record, None),
        }
    }

    /// About the number of bytes that it takes as an update for other nodes.
    pub(crate) fn size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |v| v.len());
        self.key.len() + value + size_of::<TargetUpdate>()
    }

    /// Converts the record to an update for other nodes.
    pub(crate) fn to_update(&self) -> TargetUpdate {
        let (first, last) = self.seen();
        TargetUpdate {
            key: self.key.to_string(),
            value: self.value.as_deref().map(<[u8]>::to_vec),
            number: self.number,
            first,
            last,
            is_removed: self.is_removed(),
        }
    }

    /// Highest number of any entry of the target.
    pub(super) fn number(&self) -> EntryNumber {
        self.number
    }

    /// Returns whether both records carry the same information.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        (self.presence, self.number, &self.value) == (other.presence, other.number, &other.value)
    }

    pub(super) fn key(&self) -> &Arc<str> {
        &self.key
    }

    /// Position of the latest known change.
    pub(crate) fn position(&self) -> StorePosition {
        self.presence.position()
    }

    pub(super) fn is_removed(&self) -> bool {
        matches!(self.presence, Presence::Removed(_))
    }

    pub(super) fn is_unreadable(&self) -> bool {
        matches!(self.presence, Presence::Unreadable(_))
    }

    /// The entry, if the store contains it.
    pub(super) fn entry(&self) -> Option<&Arc<TargetEntry>> {
        let is_present = matches!(self.presence, Presence::Present { .. });
        self.entry.as_ref().filter(|_| is_present)
    }

    /// Returns the record of the same key after its removal.
    pub(super) fn removed(&self, at: StorePosition) -> Self {
        Self {
            key: Arc::clone(&self.key),
            number: self.number,
            entry: None,
            value: None,
            presence: Presence::Removed(at),
        }
    }

    /// Merges two records of the same key.
    pub(super) fn merged(&self, other: &Self) -> Self {
        let (source, presence) = match (self.presence, other.presence) {
            (Presence::Present { .. }, Presence::Present { .. }) => self.latest_entry(other),
            (Presence::Present { .. }, Presence::Removed(at)) => self.unless_removed(at, other),
            (Presence::Removed(at), Presence::Present { .. }) => other.unless_removed(at, self),
            (Presence::Present { .. }, Presence::Unreadable(_)) if self.number < other.number => {
                (other, other.presence)
            }
            (Presence::Unreadable(_), Presence::Present { .. }) if other.number < self.number => {
                (self, self.presence)
            }
            (one, another) if one.position() >= another.position() => (self, one),
            (_, another) => (other, another),
        };
        Self {
            number: self.number.max(other.number),
            presence,
            ..source.clone()
        }
    }

    /// Returns the later of two entries, and where it was seen.
    fn latest_entry<'a>(&'a self, other: &'a Self) -> (&'a Self, Presence) {
        match self.number.cmp(&other.number) {
            Ordering::Greater => (self, self.presence),
            Ordering::Less => (other, other.presence),
            Ordering::Equal => (self.later_of_same_number(other), self.seen_by_both(other)),
        }
    }

    /// Returns the later of two entries with the same number. A target that has announced that it
    /// is draining does not become ready again because an older copy of the store says so.
    fn later_of_same_number<'a>(&'a self, other: &'a Self) -> &'a Self {
        let rank = |r: &Self| {
            let (first, last) = r.seen();
            let is_draining = r.entry.as_ref().map(|e| e.state == TargetState::Draining);
            (first.era, is_draining, last)
        };
        let (one, another) = (rank(self), rank(other));
        let is_same_era = one.0 == another.0;
        let is_later = if is_same_era {
            (one.2, one.1) >= (another.2, another.1)
        } else {
            (one.1, one.2) >= (another.1, another.2)
        };
        if is_later { self } else { other }
    }

    fn seen_by_both(&self, other: &Self) -> Presence {
        let ((first, last), (other_first, other_last)) = (self.seen(), other.seen());
        Presence::Present {
            first: earliest_era(first, other_first),
            last: last.max(other_last),
        }
    }

    /// Positions at which the record's state was first and last seen.
    fn seen(&self) -> (StorePosition, StorePosition) {
        match self.presence {
            Presence::Present { first, last } => (first, last),
            Presence::Removed(at) | Presence::Unreadable(at) => (at, at),
        }
    }

    /// Returns this record, or `removal` if the entry has been missing since position `at`.
    fn unless_removed<'a>(&'a self, at: StorePosition, removal: &'a Self) -> (&'a Self, Presence) {
        let (first, last) = self.seen();
        let outlives = |seen: StorePosition| {
            let is_newer = self.number > removal.number;
            let is_written_again = seen.era == at.era && self.number == removal.number;
            seen > at && (is_newer || is_written_again)
        };
        if outlives(first) || outlives(last) {
            (self, self.presence)
        } else {
            (removal, removal.presence)
        }
    }
}

/// Returns the position of the earlier era, or the later position if both are of the same era.
fn earliest_era(one: StorePosition, other: StorePosition) -> StorePosition {
    match one.era.cmp(&other.era) {
        Ordering::Less => one,
        Ordering::Greater => other,
        Ordering::Equal => one.max(other),
    }
}
