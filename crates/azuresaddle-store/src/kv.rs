//! Interface of the platform's key-value store.

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

/// Position in the store's history of changes.
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
    /// The value, at most one megabyte.
    pub value: String,
    /// Version of the key.
    pub version: KeyVersion,
}

/// Result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Changes {
    /// Revision from which to continue the watch.
    pub revision: Revision,
    /// Keys that changed, with their current values.
    pub entries: Vec<Entry>,
}

/// A key-value store with compare-and-swap, leases and watches with a timeout.
pub trait KeyValueStore: Clone + Send + Sync + 'static {
    /// Reads a key.
    ///
    /// # Errors
    /// Returns an error if the store does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes a key if it has the expected version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the key has another version, and
    /// [`StoreError::OutcomeUnknown`] if the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        value: String,
        expected: KeyVersion,
    ) -> impl Future<Output = Result<KeyVersion, StoreError>> + Send;

    /// Grants a lease.
    ///
    /// # Errors
    /// Returns an error if the store does not answer; a lease that it granted expires by itself.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease, which then expires after its time to live from now.
    ///
    /// # Errors
    /// Returns [`StoreError::LeaseExpired`] if the lease has already expired.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Whether a lease has not expired.
    ///
    /// # Errors
    /// Returns an error if the store does not answer.
    fn is_lease_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision to keys with a prefix, and returns an empty
    /// list if there are none. With revision 0 it returns all keys immediately.
    ///
    /// # Errors
    /// Returns an error if the store does not answer.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;
}
