//! Writes crashes to the store, for nodes that start later and for nodes that cannot reach any
//! other node.

use std::collections::BTreeSet;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{CrashKey, Lease, MAX_TRANSACTION_OPS, PlatformStore, StoreError};
use azuresaddle_sched::quarantine::Crash;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::store_watch::{FIRST_BACKOFF, MAX_BACKOFF, jittered};
use super::stored_crashes::key_of;

/// TTL of an entry: the longest that the store allows, and as long as the first quarantine.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// Age up to which a lease is reused for further entries, which then expire correspondingly
/// earlier.
const LEASE_REUSE_AGE: Duration = Duration::from_secs(60);

/// Time for which writes are collected into one call.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of pending entries while the store does not answer; more would be outdated before
/// they are written.
const MAX_PENDING: usize = 512;

/// A change of the stored crashes.
#[derive(Clone, Debug)]
pub(super) enum CrashWrite {
    /// Write these crashes to the store.
    Put(Vec<Crash>),
    /// Remove these crashes from the store.
    Remove(Vec<CrashKey>),
}

/// Processes the writes until the channel is closed.
pub(super) async fn write_crashes<N: Network>(
    store: PlatformStore<N>,
    mut rx: mpsc::Receiver<CrashWrite>,
) {
    let mut writer = Writer {
        store,
        pending: BTreeSet::new(),
        removals: BTreeSet::new(),
        lease: None,
    };
    let mut backoff = FIRST_BACKOFF;
    while let Some(write) = rx.recv().await {
        writer.enqueue(&write);
        tokio::time::sleep(BATCH_DELAY).await;
        while writer.has_work() {
            while let Ok(more) = rx.try_recv() {
                writer.enqueue(&more);
            }
            match writer.write_batch().await {
                Ok(()) => backoff = FIRST_BACKOFF,
                Err(StoreError::RolledBack) => {}
                Err(e) => {
                    tracing::info!(part = "control", error = %e, "storing crashes failed");
                    tokio::time::sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }
}

struct Writer<N> {
    store: PlatformStore<N>,
    /// Keys of entries to write.
    pending: BTreeSet<String>,
    /// Keys of entries to remove.
    removals: BTreeSet<String>,
    /// Current lease for new entries, and when it was requested.
    lease: Option<(Lease, Instant)>,
}

impl<N: Network> Writer<N> {
    fn enqueue(&mut self, write: &CrashWrite) {
        match write {
            CrashWrite::Put(crashes) => self.put(crashes),
            CrashWrite::Remove(keys) => self.remove(keys),
        }
    }

    fn put(&mut self, crashes: &[Crash]) {
        for crash in crashes {
            if self.pending.len() >= MAX_PENDING {
                tracing::warn!(
                    part = "control",
                    "crash not stored: too many pending entries"
                );
                return;
            }
            let key = key_of(crash).encode();
            self.removals.remove(&key);
            self.pending.insert(key);
        }
    }

    fn remove(&mut self, keys: &[CrashKey]) {
        for key in keys {
            let key = key.encode();
            self.pending.remove(&key);
            self.removals.insert(key);
        }
    }

    fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.removals.is_empty()
    }

    /// Writes and removes as many entries as fit into one call.
    async fn write_batch(&mut self) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let keys: Vec<String> = self
            .pending
            .iter()
            .take(MAX_TRANSACTION_OPS)
            .cloned()
            .collect();
        let room = MAX_TRANSACTION_OPS - keys.len();
        let removed: Vec<String> = self.removals.iter().take(room).cloned().collect();
        if let Err(e) = self.store.write_crashes(&keys, lease, &removed).await {
            // The lease may have expired in an outage of the store.
            self.lease = None;
            return Err(e);
        }
        for key in &removed {
            self.removals.remove(key);
        }
        for key in &keys {
            self.pending.remove(key);
        }
        Ok(())
    }

    async fn lease(&mut self) -> Result<Lease, StoreError> {
        let now = Instant::now();
        if let Some((lease, requested_at)) = self.lease
            && now - requested_at < LEASE_REUSE_AGE
            // After a rollback the store may grant the same lease number to another writer.
            && Some(lease.era) == self.store.era()
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(ENTRY_TTL).await?;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}
