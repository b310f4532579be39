//! The operations that the platform's service offers.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::StoreError;

/// Version of one key; 0 stands for a key that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

/// Position in the service's history of changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifier of a lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: String,
    /// Version of the key.
    pub version: KeyVersion,
}

/// What a watch returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Changes {
    /// Position to watch from next.
    pub revision: Revision,
    /// Keys that changed, with their present values.
    pub entries: Vec<Entry>,
}

/// A key-value service with compare-and-swap, leases and bounded watches.
pub trait KeyValueStore: Clone + Send + Sync + 'static {
    /// Reads a key.
    ///
    /// # Errors
    /// Where the service does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes a key if it has the expected version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] where it has another, [`StoreError::OutcomeUnknown`] where the write may
    /// have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        value: String,
        expected: KeyVersion,
    ) -> impl Future<Output = Result<KeyVersion, StoreError>> + Send;

    /// Grants a lease.
    ///
    /// # Errors
    /// Where the service does not answer; a lease that was granted lapses by itself.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease for its time to live from now.
    ///
    /// # Errors
    /// [`StoreError::LeaseExpired`] where it is too late.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Whether a lease still runs.
    ///
    /// # Errors
    /// Where the service does not answer.
    fn is_lease_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Waits up to `wait` for changes of keys with a prefix after a revision; returns an empty
    /// list when none came. Revision 0 returns all keys at once.
    ///
    /// # Errors
    /// Where the service does not answer.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;
}
