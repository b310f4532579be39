//! Index of a target's prefix cache.

use azuresaddle_sched::{CacheEvent, CacheEventKind, PrefixIndex};

fn stored(sequence: u64, block: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        block,
        kind: CacheEventKind::Stored,
    }
}

#[test]
fn a_gap_makes_the_view_stale_until_it_is_listed() {
    let mut index = PrefixIndex::default();
    index.replace(10, [1, 2]);
    index.apply(stored(11, 3));
    assert_eq!(index.cached_blocks(&[1, 2, 3]), 3);
    index.apply(stored(13, 4));
    assert!(index.is_stale());
    assert_eq!(index.cached_blocks(&[1, 2, 3]), 0);
    index.apply(stored(14, 1));
    assert_eq!(index.cached_blocks(&[1]), 0);
    index.replace(14, [1, 4]);
    assert_eq!(index.cached_blocks(&[1, 4]), 2);
}

#[test]
fn old_events_are_ignored() {
    let mut index = PrefixIndex::default();
    index.replace(10, [1]);
    index.apply(CacheEvent {
        sequence: 9,
        block: 1,
        kind: CacheEventKind::Evicted,
    });
    assert_eq!(index.cached_blocks(&[1]), 1);
}

#[test]
fn the_view_is_bounded() {
    let mut index = PrefixIndex::default();
    index.replace(0, []);
    for n in 1..=100_000 {
        index.apply(stored(n, n));
    }
    assert_eq!(index.cached_blocks(&[1]), 0, "the oldest are forgotten");
    assert_eq!(index.cached_blocks(&[100_000]), 1);
}

/// Guards against an owner that ends at the highest sequence number of a target's cache.
#[test]
fn the_highest_sequence_number_is_followed_by_itself() {
    let mut index = PrefixIndex::default();
    index.replace(u64::MAX, [1]);
    index.apply(stored(u64::MAX, 2));
    assert_eq!(index.cached_blocks(&[1, 2]), 2);
}
