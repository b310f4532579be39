//! Writes crashes to the store, for nodes that start later and for those that reach no other node.

use std::collections::BTreeSet;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{LeaseId, MAX_WRITES, PlatformStore, StoreError, crash_key};
use azuresaddle_sched::quarantine::Crash;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::store_watch::{FIRST_BACKOFF, MAX_BACKOFF, jittered};

/// Time for which an entry lives without being written again: the longest that the store allows, and as long
/// as the first quarantine.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// Age up to which a lease is used for further entries, which end the earlier by it.
const LEASE_REUSED: Duration = Duration::from_secs(60);

/// Time for which crashes are gathered for one call.
const GATHER: Duration = Duration::from_millis(20);

/// Most entries that wait for a store that does not answer; more would outlive their use.
const MAX_PENDING: usize = 512;

/// Writes what comes, until nobody sends any more.
pub(super) async fn write_crashes<N: Network>(
    store: PlatformStore<N>,
    mut rx: mpsc::Receiver<Vec<Crash>>,
) {
    let mut writer = Writer {
        store,
        pending: BTreeSet::new(),
        lease: None,
    };
    let mut backoff = FIRST_BACKOFF;
    while let Some(crashes) = rx.recv().await {
        writer.add(&crashes);
        tokio::time::sleep(GATHER).await;
        while !writer.pending.is_empty() {
            while let Ok(more) = rx.try_recv() {
                writer.add(&more);
            }
            match writer.write_some().await {
                Ok(()) => backoff = FIRST_BACKOFF,
                Err(e) => {
                    tracing::info!(part = "control", error = %e, "crashes not written");
                    tokio::time::sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }
}

struct Writer<N> {
    store: PlatformStore<N>,
    /// Keys of entries that are not written.
    pending: BTreeSet<String>,
    /// The lease for new entries, and when it was asked for.
    lease: Option<(LeaseId, Instant)>,
}

impl<N: Network> Writer<N> {
    fn add(&mut self, crashes: &[Crash]) {
        for crash in crashes {
            if self.pending.len() >= MAX_PENDING {
                tracing::warn!(part = "control", request = %crash.fingerprint, "crash not written, too many wait");
                return;
            }
            let key = crash_key(crash.fingerprint, crash.target.0);
            self.pending.insert(key);
        }
    }

    /// Writes as many entries as one call takes.
    async fn write_some(&mut self) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let keys: Vec<String> = self.pending.iter().take(MAX_WRITES).cloned().collect();
        if let Err(e) = self.store.write_crashes(&keys, lease).await {
            // It may have ended with an outage of the store.
            self.lease = None;
            return Err(e);
        }
        for key in &keys {
            self.pending.remove(key);
        }
        Ok(())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = Instant::now();
        if let Some((lease, taken_at)) = self.lease
            && now - taken_at < LEASE_REUSED
        {
            return Ok(lease);
        }
        let lease = self.store.take_lease(ENTRY_TTL).await?;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}
