//! Model of a store that keeps a copy before each change.

use std::collections::BTreeMap;

/// Values and their revisions by key.
pub(super) type Values = BTreeMap<String, (Vec<u8>, u64)>;

/// A store that can be rolled back by a number of changes.
pub(super) struct Store {
    pub(super) era: u64,
    pub(super) revision: u64,
    pub(super) values: Values,
    /// Changes, as a watch reports them.
    pub(super) history: Vec<(String, Option<Vec<u8>>, u64)>,
    pub(super) compacted: u64,
    pub(super) copies: Vec<(Values, u64)>,
    pub(super) down_until: u64,
}

impl Store {
    pub(super) fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        if value.is_none() && !self.values.contains_key(key) {
            return;
        }
        self.copies.push((self.values.clone(), self.revision));
        self.revision += 1;
        let revision = self.revision;
        match value.clone() {
            Some(value) => self.values.insert(key.to_owned(), (value, revision)),
            None => self.values.remove(key),
        };
        self.history.push((key.to_owned(), value, revision));
    }

    pub(super) fn roll_back(&mut self, changes: usize) {
        let kept = self.copies.len().saturating_sub(changes);
        if let Some((values, revision)) = self.copies.get(kept).cloned() {
            self.values = values;
            self.revision = revision;
        }
        self.copies.truncate(kept);
        self.history.retain(|c| c.2 <= self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.era += 1;
    }
}
