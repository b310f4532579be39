//! Choice among pools by their digests.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::PoolChoice;
use azuresaddle_sched::{PoolDigest, choose_pool};

fn digest(domain: &str, short_wait_ms: u64, memory_tokens: u64) -> PoolDigest {
    PoolDigest {
        pool: PoolId {
            model: Model::new("m"),
            domain: FailureDomain::new(domain),
            shard: 0,
        },
        usable_targets: 4,
        waiting: 0,
        running: 0,
        short_wait: Duration::from_millis(short_wait_ms),
        long_wait: Duration::from_secs(9),
        memory_tokens,
        short_max_tokens: 8192,
    }
}

fn choose(digests: &[(PoolDigest, u64)], choice: PoolChoice, tokens: u64) -> Option<String> {
    let aged = digests
        .iter()
        .map(|(d, age)| (d, Duration::from_secs(*age)));
    let chosen = choose_pool(aged, &FailureDomain::new("here"), choice, tokens);
    chosen.map(|pool| pool.domain.to_string())
}

#[test]
fn the_local_domain_is_preferred_until_it_is_busy() {
    let any = PoolChoice::ShortestWait;
    let digests = [
        (digest("here", 0, 9_000), 0),
        (digest("there", 0, 9_000), 0),
    ];
    assert_eq!(choose(&digests, any, 100).as_deref(), Some("here"));
    let digests = [
        (digest("here", 500, 9_000), 0),
        (digest("there", 0, 9_000), 0),
    ];
    assert_eq!(choose(&digests, any, 100).as_deref(), Some("there"));
    let own = PoolChoice::SameDomain;
    assert_eq!(choose(&digests, own, 100).as_deref(), Some("here"));
}

#[test]
fn an_old_digest_is_trusted_less() {
    let digests = [
        (digest("there", 0, 9_000), 30),
        (digest("elsewhere", 100, 9_000), 0),
    ];
    let chosen = choose(&digests, PoolChoice::ShortestWait, 100);
    assert_eq!(chosen.as_deref(), Some("elsewhere"));
}

#[test]
fn a_pool_that_is_too_small_is_skipped() {
    let digests = [
        (digest("here", 0, 1_000), 0),
        (digest("there", 0, 9_000), 0),
    ];
    let chosen = choose(&digests, PoolChoice::SameDomain, 5_000);
    assert_eq!(chosen.as_deref(), Some("there"));
    assert_eq!(choose(&digests, PoolChoice::SameDomain, 50_000), None);
}
