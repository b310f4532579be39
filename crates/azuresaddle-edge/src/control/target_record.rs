//! What is known of one target's entry, and how what two nodes know becomes one.
//!
//! A store that goes back to an older copy forgets changes, and gives their revisions out again. So neither the
//! latest revision nor the latest answer of the store is the truth by itself: what counts is the target's own latest
//! word, and whether the store, in its latest copy, has removed the entry since.

use std::cmp::Ordering;
use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_platform::{DecodeError, Item, StorePosition, decode_target};
use serde::{Deserialize, Serialize};

/// Orders the entries that a target writes, whatever the store makes of them.
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

/// What the store said of a key last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It holds the entry.
    Present {
        /// Where the entry was first seen: in the earliest era, and the latest revision there.
        first: StorePosition,
        /// Where it was seen last.
        last: StorePosition,
    },
    /// It was removed.
    Removed(StorePosition),
    /// It holds something that names no target.
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

/// What is known of one key of a target.
///
/// Two records of a key merge to the same one in any order.
#[derive(Clone, Debug)]
pub(crate) struct TargetRecord {
    key: Arc<str>,
    /// Latest number that any entry of the target had, also after its removal.
    number: EntryNumber,
    /// The entry of that number; `None` where none was read.
    entry: Option<Arc<TargetEntry>>,
    /// What the key holds or held last, as it was written.
    value: Option<Arc<[u8]>>,
    presence: Presence,
}

/// A record as nodes tell it to each other.
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
    /// A change as the store told it, and why its value can't be read.
    pub(super) fn from_item(item: Item) -> (Self, Option<DecodeError>) {
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

    /// A record that another node tells, and why its value can't be read.
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
        let decoded = record.value.as_ref().map(|v| decode_target(&record.key, v));
        match decoded {
            Some(Ok(entry)) => {
                record.number = number.max(EntryNumber::of(&entry));
                record.entry = Some(Arc::new(entry));
                (record, None)
            }
            Some(Err(e)) => {
                if !record.is_removed() {
                    record.presence = Presence::Unreadable(presence.position());
                }
                (record, Some(e))
            }
            None => (record, None),
        }
    }

    /// The record as it is told to other nodes.
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

    /// Latest number that any entry of the target had.
    pub(super) fn number(&self) -> EntryNumber {
        self.number
    }

    /// Whether both tell the same.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        (self.presence, self.number, &self.value) == (other.presence, other.number, &other.value)
    }

    pub(super) fn key(&self) -> &Arc<str> {
        &self.key
    }

    /// Position of the latest change that is known.
    pub(crate) fn position(&self) -> StorePosition {
        self.presence.position()
    }

    pub(super) fn is_removed(&self) -> bool {
        matches!(self.presence, Presence::Removed(_))
    }

    pub(super) fn is_unreadable(&self) -> bool {
        matches!(self.presence, Presence::Unreadable(_))
    }

    /// The entry, where the store holds it.
    pub(super) fn entry(&self) -> Option<&Arc<TargetEntry>> {
        let is_present = matches!(self.presence, Presence::Present { .. });
        self.entry.as_ref().filter(|_| is_present)
    }

    /// The record of the same key after its removal.
    pub(super) fn removed(&self, at: StorePosition) -> Self {
        Self {
            key: Arc::clone(&self.key),
            number: self.number,
            entry: None,
            value: None,
            presence: Presence::Removed(at),
        }
    }

    /// What both tell together.
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

    /// Which of two entries counts, and where it was seen.
    fn latest_entry<'a>(&'a self, other: &'a Self) -> (&'a Self, Presence) {
        match self.number.cmp(&other.number) {
            Ordering::Greater => (self, self.presence),
            Ordering::Less => (other, other.presence),
            Ordering::Equal => (self.later_of_same_number(other), self.seen_by_both(other)),
        }
    }

    /// Which of two entries of the same number counts: a target that has said that it drains does not take work again
    /// because an older copy of the store says so.
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

    /// Where what the record tells was seen first and last.
    fn seen(&self) -> (StorePosition, StorePosition) {
        match self.presence {
            Presence::Present { first, last } => (first, last),
            Presence::Removed(at) | Presence::Unreadable(at) => (at, at),
        }
    }

    /// The record itself, or a removal of which `removal` tells where the entry is not there since.
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

/// The position of the earlier era, and the later one in the same era.
fn earliest_era(one: StorePosition, other: StorePosition) -> StorePosition {
    match one.era.cmp(&other.era) {
        Ordering::Less => one,
        Ordering::Greater => other,
        Ordering::Equal => one.max(other),
    }
}
