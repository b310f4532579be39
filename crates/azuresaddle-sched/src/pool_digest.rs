//! Summaries of pools, and the choice among pools based on them.

use std::time::Duration;

use azuresaddle_core::bounded_time;
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::PoolChoice;
use serde::{Deserialize, Serialize};

/// Cost of using a pool in another failure domain, expressed as waiting time.
const OTHER_DOMAIN_WAIT: Duration = Duration::from_millis(20);

/// Seconds of wait added per second of a digest's age, as an old digest says less about the queue.
const WAIT_PER_SECOND_OF_AGE: f64 = 0.02;

/// Summary of a pool that its owner sends to other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolDigest {
    /// The pool.
    pub pool: PoolId,
    /// Number of targets that accept new work.
    pub usable_targets: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of active reservations.
    pub running: u32,
    /// Expected wait of a short prompt.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub short_wait: Duration,
    /// Expected wait of a long prompt.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub long_wait: Duration,
    /// Total memory of all usable targets, the most that a single request can get, in tokens.
    pub memory_tokens: u64,
    /// Maximum prefill of the short class, in tokens.
    pub short_max_tokens: u64,
}

/// Picks the pool with the shortest expected wait for a request of `memory_tokens`.
///
/// Each digest comes with its age. Returns `None` if no pool has usable targets and enough memory.
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
    queued + distance + bounded_time::scaled(age, WAIT_PER_SECOND_OF_AGE)
}
