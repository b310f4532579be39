//! State of the stand-in store, independent of its HTTP interface.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use azuresaddle_store::{Changes, Entry, KeyVersion, LeaseId, Revision};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Number of calls by kind; a watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallCounts {
    /// Reads of keys and leases.
    pub reads: u64,
    /// Compare-and-swaps.
    pub writes: u64,
    /// Grants and renewals of leases.
    pub lease_writes: u64,
    /// Watches.
    pub watches: u64,
}

/// State of the store: keys with the revisions of their latest changes, and leases.
#[derive(Debug, Default)]
pub struct StoreModel {
    keys: BTreeMap<String, Stored>,
    leases: HashMap<LeaseId, Lease>,
    revision: Revision,
    next_lease: u64,
    /// Number of calls so far.
    pub counts: CallCounts,
}

#[derive(Debug)]
struct Stored {
    value: String,
    version: KeyVersion,
    changed: Revision,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

impl StoreModel {
    /// Reads a key.
    pub fn get(&mut self, key: &str) -> Option<Entry> {
        self.counts.reads += 1;
        self.entry(key)
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|stored| Entry {
            key: key.to_owned(),
            value: stored.value.clone(),
            version: stored.version,
        })
    }

    /// Writes a key if it has the expected version; a missing key has version 0.
    ///
    /// # Errors
    /// Returns the current entry if the key has another version.
    pub fn compare_and_swap(
        &mut self,
        key: &str,
        value: String,
        expected: KeyVersion,
    ) -> Result<KeyVersion, Option<Entry>> {
        self.counts.writes += 1;
        let present = self.keys.get(key).map_or(KeyVersion(0), |s| s.version);
        if present != expected {
            return Err(self.entry(key));
        }
        self.revision = Revision(self.revision.0.max(1) + 1);
        let version = KeyVersion(present.0 + 1);
        let stored = Stored {
            value,
            version,
            changed: self.revision,
        };
        self.keys.insert(key.to_owned(), stored);
        Ok(version)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.counts.lease_writes += 1;
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let until = now + ttl;
        self.leases.insert(id, Lease { ttl, until });
        id
    }

    /// Renews a lease; returns `false` if it has expired.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> bool {
        self.counts.lease_writes += 1;
        match self.leases.get_mut(&id) {
            Some(lease) if now < lease.until => {
                lease.until = now + lease.ttl;
                true
            }
            _ => {
                self.leases.remove(&id);
                false
            }
        }
    }

    /// Returns whether a lease has not expired.
    pub fn is_alive(&mut self, now: Instant, id: LeaseId) -> bool {
        self.counts.reads += 1;
        self.leases.get(&id).is_some_and(|lease| now < lease.until)
    }

    /// Returns the entries with a prefix that changed after a revision.
    pub fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let changed = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, stored)| stored.changed > after)
            .filter_map(|(key, _)| self.entry(key));
        Changes {
            entries: changed.collect(),
            // A watch after revision 0 returns all entries at once, so an empty store must not report that revision.
            revision: Revision(self.revision.0.max(1)),
        }
    }
}
