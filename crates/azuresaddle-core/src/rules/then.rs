//! Treatment of the requests that a rule matches.

use serde::{Deserialize, Serialize};

/// Default first-token target, in milliseconds.
const DEFAULT_FIRST_TOKEN_TARGET_MS: u64 = 350;

/// Default deadline, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 120_000;

/// How a request is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Then {
    /// From -8 (last) to 8 (first); each step counts as much as one second of waiting.
    pub priority: i8,
    /// Target time to the first token, in milliseconds after the request's arrival, not counting
    /// the time that the prefill itself takes.
    pub first_token_target_ms: u64,
    /// Time limit for the whole request, in milliseconds after its arrival. A caller may request
    /// a shorter one, but not a longer one.
    pub deadline_ms: u64,
    /// Share of the client account under contention, relative to others.
    pub weight: f64,
    /// Worth of one completed request, used in reports.
    pub worth: f64,
    /// How the pool is chosen.
    pub pool: PoolChoice,
    /// Limits of the client account.
    pub limits: AccountLimits,
    /// Whether the request may run more than once; overrides what the caller states.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Refuses the request if present.
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
    /// The pool with the shortest expected wait, preferring the node's own failure domain.
    #[default]
    ShortestWait,
    /// A pool in the node's own failure domain; others only if it has none.
    SameDomain,
}

/// Limits of one client account; absent ones are not enforced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AccountLimits {
    /// Maximum number of the account's requests that wait or run in one pool at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Maximum number of prompt tokens per second that one pool admits for the account, averaged
    /// over ten seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens_per_second: Option<f64>,
}

/// Refusal of the requests that a rule matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Refuse {
    /// One sentence that is sent to the caller.
    pub detail: String,
    /// Delay before a retry, in milliseconds; absent if a retry is useless.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
