//! Summary of a pool for the choice among pools.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::PoolChoice;
use serde::{Deserialize, Serialize};

/// Cost of leaving the own failure domain, as a wait.
const OTHER_DOMAIN_WAIT: Duration = Duration::from_millis(20);

/// Wait added for each second of a digest's age: the older it is, the less a short queue in it is
/// worth.
const WAIT_PER_SECOND_OF_AGE: f64 = 0.02;

/// What an owner tells other nodes of its pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolDigest {
    /// The pool.
    pub pool: PoolId,
    /// Targets that take work.
    pub usable_targets: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Reservations that run.
    pub running: u32,
    /// Expected wait of a short prompt.
    pub short_wait: Duration,
    /// Expected wait of a long prompt.
    pub long_wait: Duration,
    /// Most memory that a single request can get over all usable targets, in tokens.
    pub memory_tokens: u64,
    /// Longest prefill of the short class, in tokens.
    pub short_max_tokens: u64,
}

/// Picks the pool for a prompt; each digest comes with its age.
pub fn choose_pool<'a>(
    digests: impl IntoIterator<Item = (&'a PoolDigest, Duration)>,
    domain: &FailureDomain,
    choice: PoolChoice,
    memory_tokens: u64,
) -> Option<&'a PoolId> {
    let fitting: Vec<_> = digests
        .into_iter()
        .filter(|(digest, _)| digest.usable_targets > 0 && digest.memory_tokens >= memory_tokens)
        .collect();
    let has_own = fitting.iter().any(|(d, _)| d.pool.domain == *domain);
    fitting
        .into_iter()
        .filter(|(d, _)| choice != PoolChoice::SameDomain || !has_own || d.pool.domain == *domain)
        .min_by_key(|(digest, age)| {
            let wait = expected_wait(digest, *age, domain, memory_tokens);
            (wait, &digest.pool)
        })
        .map(|(digest, _)| &digest.pool)
}

fn expected_wait(
    digest: &PoolDigest,
    age: Duration,
    domain: &FailureDomain,
    tokens: u64,
) -> Duration {
    let queued = if tokens > digest.short_max_tokens {
        digest.long_wait
    } else {
        digest.short_wait
    };
    let distance = if digest.pool.domain == *domain {
        Duration::ZERO
    } else {
        OTHER_DOMAIN_WAIT
    };
    queued + distance + age.mul_f64(WAIT_PER_SECOND_OF_AGE)
}
