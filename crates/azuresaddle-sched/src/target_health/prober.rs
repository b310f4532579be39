//! Choice of the node that probes an ejected target.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::update::Observer;

/// Time after which the next node probes if the first one has reported nothing: it may be frozen, of an earlier build, or
/// unaware of the ejection. Longer than a failed probe and the report of it take.
const STANDBY_DELAY: Duration = Duration::from_millis(400);

/// Number of nodes that probe a target one after the other until one of them reports.
const PROBERS: usize = 3;

/// When the node `own` probes a target whose probe is due at `probe_at`; `None` if other nodes do.
pub(super) fn own_probe_time(
    own: Observer,
    target: &HostName,
    probe_at: Instant,
    candidates: impl Iterator<Item = Observer>,
) -> Option<Instant> {
    let own_score = score(target, own.node);
    let is_before = |o: &Observer| o.node != own.node && score(target, o.node) > own_score;
    let rank = candidates.filter(is_before).take(PROBERS).count();
    (rank < PROBERS).then(|| probe_at + STANDBY_DELAY * rank as u32)
}

/// Rendezvous hash: the node with the highest score for a target probes it.
fn score(target: &HostName, node: u64) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), node)
}
