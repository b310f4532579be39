//! Hash by which nodes state their failure domains to each other.

use azuresaddle_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of a failure domain's name. Two bytes suffice to tell a few domains apart.
pub(crate) fn domain_hash(domain: &FailureDomain) -> u16 {
    xxh3_64(domain.as_str().as_bytes()) as u16
}
