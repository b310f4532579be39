//! A client account as the configuration states it.

use crate::names::ClientAccount;

/// A client account and the keys that stand for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name that targets are told.
    pub name: ClientAccount,
    /// Keys that callers present.
    pub api_keys: Vec<String>,
    /// Rank that goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}
