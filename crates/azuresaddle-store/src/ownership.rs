//! Ownership of pools, bound to the owner's lease.

use std::net::SocketAddr;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::StoreError;
use crate::kv::{KeyValueStore, KeyVersion, LeaseId};

/// Prefix of the keys of owner records.
pub const OWNERS_PREFIX: &str = "azuresaddle/owners/";

/// Placeholder lease in the record of a pool that its owner has released.
pub const NO_LEASE: LeaseId = LeaseId(0);

/// Owner of a pool, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerRecord {
    /// The pool.
    pub pool: PoolId,
    /// The node that owns the pool.
    pub owner: HostName,
    /// Address at which other nodes reach the owner.
    pub peer_addr: SocketAddr,
    /// Fencing token of this ownership.
    pub epoch: Epoch,
    /// Lease of the owner; the ownership ends when it expires.
    pub lease: LeaseId,
}

/// Key of a pool's owner record.
pub fn owner_key(pool: &PoolId) -> String {
    format!("{OWNERS_PREFIX}{pool}")
}

/// Makes a node the owner of a pool, if the pool has no owner or the owner's lease has expired.
///
/// Returns the current record, which names another node if that one owns the pool.
///
/// # Errors
/// Returns an error if the store does not answer or the result stays unknown; the next call
/// resolves an unknown result.
pub async fn acquire_pool<S: KeyValueStore>(
    store: &S,
    pool: &PoolId,
    owner: &HostName,
    peer_addr: SocketAddr,
    lease: LeaseId,
) -> Result<OwnerRecord, StoreError> {
    let key = owner_key(pool);
    let (previous, version) = read_owner(store, &key).await?;
    if let Some(previous) = &previous {
        let is_own = previous.owner == *owner && previous.lease == lease;
        if is_own || is_held(store, previous.lease).await? {
            return Ok(previous.clone());
        }
    }
    let epoch = previous.map_or(Epoch(1), |p| p.epoch.next());
    let record = OwnerRecord {
        pool: pool.clone(),
        owner: owner.clone(),
        peer_addr,
        epoch,
        lease,
    };
    let value = serde_json::to_string(&record).expect("a record serializes");
    match store.compare_and_swap(&key, value, version).await {
        Ok(_) => Ok(record),
        // The record contains the lease, so reading it back tells whether this write took effect.
        Err(StoreError::Conflict(_) | StoreError::OutcomeUnknown(_)) => {
            let (present, _) = read_owner(store, &key).await?;
            present.ok_or_else(|| StoreError::OutcomeUnknown("the owner record is gone".to_owned()))
        }
        Err(e) => Err(e),
    }
}

async fn is_held<S: KeyValueStore>(store: &S, lease: LeaseId) -> Result<bool, StoreError> {
    if lease == NO_LEASE {
        return Ok(false);
    }
    store.is_lease_alive(lease).await
}

/// Releases a pool, so that another node can acquire it immediately. Does nothing if `epoch` is
/// not current or the pool is already released.
///
/// # Errors
/// Returns an error if the store does not answer or the record changes at the same time.
pub async fn release_pool<S: KeyValueStore>(
    store: &S,
    pool: &PoolId,
    epoch: Epoch,
) -> Result<(), StoreError> {
    let key = owner_key(pool);
    let (Some(mut record), version) = read_owner(store, &key).await? else {
        return Ok(());
    };
    if record.epoch != epoch || record.lease == NO_LEASE {
        return Ok(());
    }
    record.lease = NO_LEASE;
    let value = serde_json::to_string(&record).expect("a record serializes");
    store
        .compare_and_swap(&key, value, version)
        .await
        .map(|_| ())
}

async fn read_owner<S: KeyValueStore>(
    store: &S,
    key: &str,
) -> Result<(Option<OwnerRecord>, KeyVersion), StoreError> {
    let Some(entry) = store.get(key).await? else {
        return Ok((None, KeyVersion(0)));
    };
    let record = serde_json::from_str(&entry.value).map_err(|e| StoreError::BadValue {
        key: key.to_owned(),
        detail: e.to_string(),
    })?;
    Ok((Some(record), entry.version))
}
