//! Why a rule matched a request or did not.

use serde::{Deserialize, Serialize};

/// The condition that did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mismatch {
    /// `client-account`
    ClientAccount,
    /// `model`
    Model,
    /// `kind`
    Kind,
    /// `prompt-tokens`
    PromptTokens,
    /// `idempotent`
    Idempotent,
    /// `failure-domain`
    FailureDomain,
}

/// Result of one rule for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "condition", rename_all = "kebab-case")]
pub enum RuleOutcome {
    /// The rule applies.
    Matched,
    /// A condition did not hold.
    Mismatched(Mismatch),
    /// An earlier rule applies.
    NotReached,
}

/// One rule and its result for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// Name of the rule.
    pub rule: String,
    /// Result of the rule.
    #[serde(flatten)]
    pub outcome: RuleOutcome,
}
