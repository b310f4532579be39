//! Properties of a request that rules can test.

use serde::{Deserialize, Serialize};

use crate::names::{ClientAccount, FailureDomain, Model};

/// The properties of a request that conditions may test.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestFacts {
    /// The client account that sent the request.
    pub client_account: ClientAccount,
    /// The model, or the plain service.
    pub model: Model,
    /// Kind that the caller states, such as `quick`; empty if it states none.
    #[serde(default)]
    pub kind: String,
    /// Length of the prompt in tokens; 0 for a plain service.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Whether the request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Failure domain of the node that received the request.
    pub failure_domain: FailureDomain,
}

fn default_idempotent() -> bool {
    true
}
