//! The entries that the operator and the targets want in the store, whether or not the store still has them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};

use crate::platform::store::PlatformStoreModel;

/// Desired value of each key; cheap to clone.
#[derive(Clone)]
pub(super) struct DesiredState {
    store: PlatformStoreModel,
    values: Arc<Mutex<BTreeMap<String, String>>>,
}

impl DesiredState {
    pub(super) fn new(store: PlatformStoreModel) -> Self {
        Self {
            store,
            values: Arc::default(),
        }
    }

    /// Sets the desired value of a key and writes it to the store.
    pub(super) fn write(&self, key: &str, value: String) {
        let mut values = self.lock();
        self.store.put(key, value.clone());
        values.insert(key.to_owned(), value);
    }

    /// Removes a key, from the store too.
    pub(super) fn remove(&self, key: &str) {
        let mut values = self.lock();
        self.store.remove(key);
        values.remove(key);
    }

    /// Drops a key that its writer no longer refreshes; the store keeps its value.
    pub(super) fn abandon(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Returns the keys with a desired value.
    pub(super) fn keys(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Writes the current value of a key again; an entry of a target gets the next sequence number.
    pub(super) fn write_again(&self, key: &str) {
        let mut values = self.lock();
        let Some(value) = values.get_mut(key) else {
            return;
        };
        *value = with_next_number(value);
        self.store.put(key, value.clone());
    }

    /// Removes a key from the store if no writer refreshes it any more.
    pub(super) fn remove_if_abandoned(&self, key: &str) {
        let values = self.lock();
        if !values.contains_key(key) {
            self.store.remove(key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn with_next_number(value: &str) -> String {
    let Ok(mut entry) = serde_json::from_str::<Value>(value) else {
        return value.to_owned();
    };
    if let Some(number) = entry["sequence"].as_u64() {
        entry["sequence"] = json!(number + 1);
    }
    entry.to_string()
}
