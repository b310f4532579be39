//! Messages of the key-value store's HTTP interface.
//!
//! | call | request body | response body |
//! |---|---|---|
//! | `GET /v1/keys?key=K` | | [`GetResponse`] |
//! | `PUT /v1/keys?key=K` | [`PutRequest`] | [`PutResponse`], or 409 with [`GetResponse`] |
//! | `POST /v1/leases` | [`GrantLeaseRequest`] | [`GrantLeaseResponse`] |
//! | `PUT /v1/leases/ID` | | [`LeaseState`], or 404 |
//! | `GET /v1/leases/ID` | | [`LeaseState`] |
//! | `GET /v1/watch?prefix=P&after=R&wait-ms=N` | | [`crate::Changes`] |

use serde::{Deserialize, Serialize};

use crate::kv::{Entry, KeyVersion, LeaseId};

/// Result of a read; also the body of a conflict.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GetResponse {
    /// The value, if the key exists.
    pub entry: Option<Entry>,
}

/// A compare-and-swap.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PutRequest {
    /// The new value.
    pub value: String,
    /// Expected version; 0 if the key must not exist.
    pub expected: KeyVersion,
}

/// Result of a compare-and-swap that took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PutResponse {
    /// New version of the key.
    pub version: KeyVersion,
}

/// Request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantLeaseRequest {
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantLeaseResponse {
    /// Identifier of the lease.
    pub lease: LeaseId,
}

/// State of a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseState {
    /// Whether the lease has not expired.
    pub alive: bool,
}
