//! Client of the platform's key-value store, and the data kept in it: the operators' rules,
//! ownership of pools, and claims of idempotency keys.
//!
//! The response to a write can be lost after the write took effect. Every write here carries an
//! identifier of its own, so that reading the value back tells whether the write took effect.

mod claims;
mod error;
mod http_store;
mod kv;
mod ownership;
mod rules_record;
mod unix_time;
pub mod wire;

pub use claims::{ClaimKey, ClaimOutcome, ClaimRecord, ClaimSegment, Claims};
pub use error::StoreError;
pub use http_store::HttpStore;
pub use kv::{Changes, Entry, KeyValueStore, KeyVersion, LeaseId, Revision};
pub use ownership::{NO_LEASE, OWNERS_PREFIX, OwnerRecord, acquire_pool, owner_key, release_pool};
pub use rules_record::{
    ChangeSummary, PutRulesError, RULES_KEY, RulesRecord, put_rules, read_rules,
};
pub use unix_time::unix_ms;

/// Prefix of the keys that every node watches. Claims have another prefix, since no node watches
/// them.
pub const WATCHED_PREFIX: &str = "azuresaddle/";
