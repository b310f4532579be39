//! Targets drained for a request that does not fit yet.

use slotmap::new_key_type;
use tokio::time::Instant;

use crate::queue::WaitKey;
use crate::target::TargetKey;

new_key_type! {
    /// Key of a drain.
    pub(crate) struct DrainKey;
}

/// Targets drained for one waiting request; other requests may use them only if they are expected
/// to end before [`Drain::ready_at`].
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub(crate) wait: WaitKey,
    pub(crate) targets: Vec<TargetKey>,
    /// When all the targets are expected to have enough free memory.
    pub(crate) ready_at: Instant,
}
