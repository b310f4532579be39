//! A client account, as configured.

use crate::names::ClientAccount;

/// A client account and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name that targets receive with a request.
    pub name: ClientAccount,
    /// API keys, any of which authenticates a caller.
    pub api_keys: Vec<String>,
    /// Priority that overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}
