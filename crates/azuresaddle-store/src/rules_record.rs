//! The operators' rules document in the key-value store.

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::RulesDocument;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::error::StoreError;
use crate::kv::{Entry, KeyValueStore, KeyVersion};
use crate::unix_time::unix_ms;

/// Key of the rules record.
pub const RULES_KEY: &str = "azuresaddle/rules";

/// Maximum number of changes kept in the history.
const MAX_HISTORY: usize = 50;

/// Maximum number of attempts to write one change.
const MAX_ATTEMPTS: usize = 4;

/// A rules document with its version, as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RulesRecord {
    /// Version of the document; every change increases it.
    pub version: RulesVersion,
    /// Identifier of the change that wrote this version.
    pub change_id: u64,
    /// The document.
    pub document: RulesDocument,
    /// Most recent changes, the newest first.
    #[serde(default)]
    pub history: Vec<ChangeSummary>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeSummary {
    /// Version that the change wrote.
    pub version: RulesVersion,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Comment of the operator.
    pub comment: String,
}

/// Why a change was not written.
#[derive(Debug, Error)]
pub enum PutRulesError {
    /// Another change was written first.
    #[error("the rules have version {}, not {base}", current.version)]
    Conflict {
        /// Version that the change was based on.
        base: RulesVersion,
        /// The current record.
        current: Box<RulesRecord>,
    },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Reads the rules; returns the default record if none were ever written.
///
/// # Errors
/// Returns an error if the store does not answer or the stored value can't be parsed.
pub async fn read_rules<S: KeyValueStore>(store: &S) -> Result<RulesRecord, StoreError> {
    let (record, _) = read_versioned(store).await?;
    Ok(record)
}

/// Writes a changed document, if `base` is still the current version.
///
/// The change has an identifier. If the response to its write is lost, reading the record back
/// recognizes the change, so that it is neither reported as a conflict nor made twice.
///
/// # Errors
/// Returns [`PutRulesError::Conflict`] with the current record if another change was written
/// first, and [`PutRulesError::Store`] if no attempt succeeded.
pub async fn put_rules<S: KeyValueStore>(
    store: &S,
    base: RulesVersion,
    document: RulesDocument,
    comment: &str,
) -> Result<RulesRecord, PutRulesError> {
    let change_id = rand::random();
    let mut last_error = StoreError::OutcomeUnknown("no attempt was made".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        let (current, key_version) = match read_versioned(store).await {
            Ok(read) => read,
            Err(e) => {
                last_error = e;
                continue;
            }
        };
        if current.change_id == change_id {
            return Ok(current);
        }
        if current.version != base {
            let current = Box::new(current);
            return Err(PutRulesError::Conflict { base, current });
        }
        let record = next_record(&current, change_id, &document, comment);
        let value = serde_json::to_string(&record).expect("a record serializes");
        match store.compare_and_swap(RULES_KEY, value, key_version).await {
            Ok(_) => return Ok(record),
            Err(e) => last_error = e,
        }
    }
    Err(last_error.into())
}

impl RulesRecord {
    /// Parses a record from a stored value.
    ///
    /// # Errors
    /// Returns an error if the value is not a record.
    pub fn from_entry(entry: &Entry) -> Result<Self, StoreError> {
        serde_json::from_str(&entry.value).map_err(|e| StoreError::BadValue {
            key: entry.key.clone(),
            detail: e.to_string(),
        })
    }
}

fn next_record(
    current: &RulesRecord,
    change_id: u64,
    document: &RulesDocument,
    comment: &str,
) -> RulesRecord {
    let version = current.version.next();
    let summary = ChangeSummary {
        version,
        at_unix_ms: unix_ms(),
        comment: comment.to_owned(),
    };
    let older = current.history.iter().take(MAX_HISTORY - 1).cloned();
    RulesRecord {
        version,
        change_id,
        document: document.clone(),
        history: std::iter::once(summary).chain(older).collect(),
    }
}

async fn read_versioned<S: KeyValueStore>(
    store: &S,
) -> Result<(RulesRecord, KeyVersion), StoreError> {
    match store.get(RULES_KEY).await? {
        None => Ok((RulesRecord::default(), KeyVersion(0))),
        Some(entry) => Ok((RulesRecord::from_entry(&entry)?, entry.version)),
    }
}
