//! Claims of idempotency keys: at most one request runs under a key.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::StoreError;
use crate::kv::{KeyValueStore, KeyVersion};
use crate::unix_time::unix_ms;

/// Number of store keys (segments) that claims are spread over.
const SEGMENTS: u64 = 8;

/// Maximum number of claims that wait for one segment.
const MAX_PENDING_CLAIMS: usize = 1024;

/// Maximum number of claims in one write.
const MAX_BATCH: usize = 256;

/// Maximum number of attempts to write one batch.
const MAX_ATTEMPTS: usize = 8;

/// Maximum delay after a failed attempt; random, so that writers to one segment get out of step.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a claim is kept after the request's deadline; callers' retries come well before.
const RETENTION: Duration = Duration::from_secs(600);

/// The claimed key; each client account has its own namespace of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClaimKey {
    /// The client account.
    pub account: ClientAccount,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

/// A claim, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClaimRecord {
    /// The claimed key.
    pub claim: ClaimKey,
    /// The request that holds the claim.
    pub request: RequestId,
    /// The node that handles the request.
    pub node: HostName,
    /// When the claim expires, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// All claims of one segment, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClaimSegment {
    /// Claims in the order in which they were written.
    pub claims: Vec<ClaimRecord>,
}

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request holds the key.
    Claimed,
    /// Another request holds the key.
    Held(ClaimRecord),
}

struct Pending {
    record: ClaimRecord,
    reply: oneshot::Sender<Result<ClaimOutcome, StoreError>>,
}

/// Claims keys in batches, with one compare-and-swap for all claims that wait for a segment.
#[derive(Clone)]
pub struct Claims {
    node: HostName,
    segments: Vec<mpsc::Sender<Pending>>,
}

impl Claims {
    /// Spawns one writer task for each segment.
    pub fn spawn<S: KeyValueStore>(store: &S, node: HostName, spawner: &Spawner) -> Self {
        let segments = (0..SEGMENTS)
            .map(|segment| {
                let (tx, rx) = mpsc::channel(MAX_PENDING_CLAIMS);
                let writing = write_segment(store.clone(), segment, rx);
                spawner.spawn_essential("claims", writing);
                tx
            })
            .collect();
        Self { node, segments }
    }

    /// Claims a key for a request.
    ///
    /// # Errors
    /// Returns an error if the claim is not known to be written. The request must then not run. The
    /// claim may still be in the store and hold the key until it expires.
    pub async fn claim(
        &self,
        claim: ClaimKey,
        request: RequestId,
        lifetime: Duration,
    ) -> Result<ClaimOutcome, StoreError> {
        let segment = segment_of(&claim);
        let keep = lifetime + RETENTION;
        let record = ClaimRecord {
            claim,
            request,
            node: self.node.clone(),
            expires_unix_ms: unix_ms() + u64::try_from(keep.as_millis()).unwrap_or(u64::MAX / 2),
        };
        let (reply, rx) = oneshot::channel();
        self.segments[segment]
            .try_send(Pending { record, reply })
            .map_err(|_| StoreError::Unreachable("too many claims wait".to_owned()))?;
        rx.await.unwrap_or_else(|_| {
            Err(StoreError::OutcomeUnknown(
                "the claim writer stopped".to_owned(),
            ))
        })
    }
}

fn segment_of(claim: &ClaimKey) -> usize {
    let text = format!("{}\n{}", claim.account, claim.key);
    (xxh3_64(text.as_bytes()) % SEGMENTS) as usize
}

async fn write_segment<S: KeyValueStore>(store: S, segment: u64, mut rx: mpsc::Receiver<Pending>) {
    let key = format!("azuresaddle-claims/{segment}");
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let records: Vec<_> = batch.iter().map(|p| p.record.clone()).collect();
        let result = write_batch(&store, &key, &records).await;
        for (i, pending) in batch.drain(..).enumerate() {
            let outcome = match &result {
                Ok(outcomes) => Ok(outcomes[i].clone()),
                Err(e) => Err(e.clone()),
            };
            // Sending fails if the caller no longer waits for the result.
            let _ = pending.reply.send(outcome);
        }
    }
}

/// Writes a batch; the result has one outcome for each record, in order.
async fn write_batch<S: KeyValueStore>(
    store: &S,
    key: &str,
    records: &[ClaimRecord],
) -> Result<Vec<ClaimOutcome>, StoreError> {
    let mut last_error = StoreError::OutcomeUnknown("no attempt was made".to_owned());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(scaled(MAX_RETRY_DELAY, rand::random())).await;
        }
        let (mut segment, version) = match read_segment(store, key).await {
            Ok(read) => read,
            Err(e) => {
                last_error = e;
                continue;
            }
        };
        let outcomes = segment.add(records, unix_ms());
        let Some(outcomes) = outcomes else {
            return Ok(segment.outcomes(records));
        };
        let value = serde_json::to_string(&segment).expect("a segment serializes");
        match store.compare_and_swap(key, value, version).await {
            Ok(_) => return Ok(outcomes),
            // If only the response was lost, the next read finds the records by their request ids.
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

async fn read_segment<S: KeyValueStore>(
    store: &S,
    key: &str,
) -> Result<(ClaimSegment, KeyVersion), StoreError> {
    let Some(entry) = store.get(key).await? else {
        return Ok((ClaimSegment::default(), KeyVersion(0)));
    };
    let segment = serde_json::from_str(&entry.value).map_err(|e| StoreError::BadValue {
        key: key.to_owned(),
        detail: e.to_string(),
    })?;
    Ok((segment, entry.version))
}

impl ClaimSegment {
    /// Adds the records whose keys are free; `None` if nothing has to be written.
    fn add(&mut self, records: &[ClaimRecord], now_unix_ms: u64) -> Option<Vec<ClaimOutcome>> {
        self.claims.retain(|c| c.expires_unix_ms > now_unix_ms);
        let mut held: BTreeSet<_> = self.claims.iter().map(|c| c.claim.clone()).collect();
        let mut added = false;
        for record in records {
            if held.insert(record.claim.clone()) {
                self.claims.push(record.clone());
                added = true;
            }
        }
        added.then(|| self.outcomes(records))
    }

    /// The outcome for each record, depending on which request holds its key.
    fn outcomes(&self, records: &[ClaimRecord]) -> Vec<ClaimOutcome> {
        let by_key: BTreeMap<_, _> = self.claims.iter().map(|c| (&c.claim, c)).collect();
        let outcome = |record: &ClaimRecord| match by_key.get(&record.claim) {
            Some(holder) if holder.request != record.request => {
                ClaimOutcome::Held((*holder).clone())
            }
            _ => ClaimOutcome::Claimed,
        };
        records.iter().map(outcome).collect()
    }
}
