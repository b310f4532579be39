//! Targets that are being emptied for a request that does not fit yet.

use slotmap::new_key_type;
use tokio::time::Instant;

use crate::queue::WaitKey;
use crate::target::TargetKey;

new_key_type! {
    /// Key of a drain.
    pub(crate) struct DrainKey;
}

/// Targets emptied for one waiting request; others may use them only for what ends before.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub(crate) wait: WaitKey,
    pub(crate) targets: Vec<TargetKey>,
    /// When the targets are expected to have room.
    pub(crate) ready_at: Instant,
}
