//! Hash scores of nodes for a caller.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a number in [0, 1) that depends only on the caller's key and the value.
pub(super) fn unit_hash(key: u64, value: u64) -> f64 {
    let hash = xxh3_64_with_seed(&value.to_le_bytes(), key);
    // The upper 53 bits are the ones that an `f64` holds.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the score of a node; the nodes with the lowest scores are in the answer.
///
/// The hash is divided by the weight. With several nodes per answer, this includes each node in exact proportion to its
/// weight as long as no node would have to be in every answer. The logarithm that is usual for a single choice would
/// include heavy nodes too rarely.
pub(super) fn score(key: u64, incarnation: u64, weight: f64) -> f64 {
    unit_hash(key, incarnation) / weight
}
