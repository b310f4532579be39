//! Conditions of a rule.

use serde::{Deserialize, Serialize};

use super::explain::Mismatch;
use super::facts::RequestFacts;
use super::token_range::TokenRange;
use crate::names::{ClientAccount, FailureDomain, Model};

/// Conditions that must all hold; an absent one holds for every request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct When {
    /// Client accounts, one of which must have sent the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_account: Vec<ClientAccount>,
    /// Models or plain services, one of which must be requested.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<Model>,
    /// Kinds, one of which the caller must state.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kind: Vec<String>,
    /// Range that the prompt's length must be in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<TokenRange>,
    /// Whether the request must be idempotent or must not be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Failure domains, one of which must contain the node that received the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure_domain: Vec<FailureDomain>,
}

impl When {
    /// The first condition that does not hold, in the order of the fields.
    pub fn mismatch(&self, facts: &RequestFacts) -> Option<Mismatch> {
        if !allows(&self.client_account, &facts.client_account) {
            return Some(Mismatch::ClientAccount);
        }
        if !allows(&self.model, &facts.model) {
            return Some(Mismatch::Model);
        }
        if !allows(&self.kind, &facts.kind) {
            return Some(Mismatch::Kind);
        }
        if self
            .prompt_tokens
            .is_some_and(|range| !range.contains(facts.prompt_tokens))
        {
            return Some(Mismatch::PromptTokens);
        }
        if self.idempotent.is_some_and(|want| want != facts.idempotent) {
            return Some(Mismatch::Idempotent);
        }
        if !allows(&self.failure_domain, &facts.failure_domain) {
            return Some(Mismatch::FailureDomain);
        }
        None
    }

    /// Whether every request that meets the conditions of `other` also meets these.
    pub fn covers(&self, other: &Self) -> bool {
        let tokens = match (&self.prompt_tokens, &other.prompt_tokens) {
            (None, _) => true,
            (Some(mine), None) => mine.min == 0 && mine.max.is_none(),
            (Some(mine), Some(theirs)) => mine.covers(theirs),
        };
        tokens
            && includes(&self.client_account, &other.client_account)
            && includes(&self.model, &other.model)
            && includes(&self.kind, &other.kind)
            && includes(&self.failure_domain, &other.failure_domain)
            && (self.idempotent.is_none() || self.idempotent == other.idempotent)
    }
}

/// Whether a list of alternatives, empty for any, allows the value.
fn allows<T: PartialEq>(alternatives: &[T], value: &T) -> bool {
    alternatives.is_empty() || alternatives.contains(value)
}

/// Whether `wide` allows all that `narrow` allows.
fn includes<T: PartialEq>(wide: &[T], narrow: &[T]) -> bool {
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|v| wide.contains(v)))
}
