//! One rule.

use serde::{Deserialize, Serialize};

use super::then::Then;
use super::when::When;

/// A when-then rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Rule {
    /// Name, unique in the document; it appears in reports and logs.
    pub name: String,
    /// Conditions that a request must meet.
    #[serde(default)]
    pub when: When,
    /// Treatment of the requests that meet them.
    #[serde(default)]
    pub then: Then,
}
