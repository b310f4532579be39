//! Placement of requests while the pool has no owner.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{FallbackPlacer, FallbackTarget};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::support::{engine, stream};

#[test]
fn nodes_together_do_not_overfill_a_target() {
    let nodes = 3;
    let targets: Vec<_> = (0..2)
        .map(|i| FallbackTarget {
            name: engine(i),
            memory_tokens: 90_000,
        })
        .collect();
    let mut used = [0_u64; 2];
    for node in 0..nodes {
        let mut rng = SmallRng::seed_from_u64(node);
        let mut placer = FallbackPlacer::default();
        for number in 0..100 {
            let stream = stream(u128::from(node) * 1000 + number);
            let placed = placer.place(&mut rng, &targets, nodes as usize, stream, 7_000);
            if let Ok(grant) = placed {
                let at = targets.iter().position(|t| t.name == grant.targets[0]);
                used[at.expect("a known target")] += grant.memory_tokens;
            }
        }
    }
    assert!(used.iter().all(|used| *used <= 90_000), "{used:?}");
    assert!(used.iter().all(|used| *used > 60_000), "{used:?}");
}

#[test]
fn a_request_larger_than_the_share_is_refused_with_a_retry_time() {
    let targets = [FallbackTarget {
        name: HostName::new("e0"),
        memory_tokens: 90_000,
    }];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut placer = FallbackPlacer::default();
    let refusal = placer.place(&mut rng, &targets, 3, stream(1), 40_000);
    assert!(
        refusal
            .expect_err("it exceeds a third")
            .retry_after
            .is_some()
    );
}

#[test]
fn released_memory_can_be_used_again() {
    let targets = [FallbackTarget {
        name: HostName::new("e0"),
        memory_tokens: 10_000,
    }];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut placer = FallbackPlacer::default();
    for number in 0..10 {
        let placed = placer.place(&mut rng, &targets, 1, stream(number), 9_000);
        assert!(placed.is_ok());
        placer.release(stream(number));
        placer.release(stream(number));
    }
}
