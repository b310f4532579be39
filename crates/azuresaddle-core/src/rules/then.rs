//! Treatment that a rule decides.

use serde::{Deserialize, Serialize};

/// Default first-token target, in milliseconds.
const DEFAULT_FIRST_TOKEN_TARGET_MS: u64 = 350;

/// Default deadline, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 120_000;

/// How a request is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Then {
    /// From -8 (last) to 8 (first); each step weighs as one second of waiting.
    pub priority: i8,
    /// When the first token is wanted, in milliseconds after the request's arrival, beyond the
    /// time that the prefill itself takes.
    pub first_token_target_ms: u64,
    /// When the request must have ended, in milliseconds after its arrival. A caller may ask for
    /// less, not for more.
    pub deadline_ms: u64,
    /// Share of the client account in contention, relative to others.
    pub weight: f64,
    /// Worth of one completed request, for reports.
    pub worth: f64,
    /// How the pool is chosen.
    pub pool: PoolChoice,
    /// Limits of the client account.
    pub limits: AccountLimits,
    /// Whether the request may run more than once; overrides what the caller states.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Refuses the request where present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<Refuse>,
}

impl Default for Then {
    fn default() -> Self {
        Self {
            priority: 0,
            first_token_target_ms: DEFAULT_FIRST_TOKEN_TARGET_MS,
            deadline_ms: DEFAULT_DEADLINE_MS,
            weight: 1.0,
            worth: 1.0,
            pool: PoolChoice::default(),
            limits: AccountLimits::default(),
            idempotent: None,
            refuse: None,
        }
    }
}

/// How a pool is chosen among the failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolChoice {
    /// The pool with the shortest expected wait, with a preference for the own failure domain.
    #[default]
    ShortestWait,
    /// A pool in the node's own failure domain, others only where it has none.
    SameDomain,
}

/// Limits of one client account; absent ones do not bind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AccountLimits {
    /// Most requests of the account that wait or run in one pool at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Most prompt tokens a second that one pool admits for the account, averaged over ten seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens_per_second: Option<f64>,
}

/// A refusal decided by a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Refuse {
    /// One sentence for the caller.
    pub detail: String,
    /// When to come back, in milliseconds; absent for never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
