//! Events from the platform's store.

use azuresaddle_platform::{StoreEra, StoreItem, StorePosition};

/// An event from the store.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// The store answers again after a failure.
    Reconnected,
    /// The store has stopped answering.
    Unreachable {
        /// Description of the error.
        reason: String,
    },
    /// The complete content of the store.
    Listing {
        /// The items.
        items: Vec<StoreItem>,
        /// Position of the listing.
        at: StorePosition,
    },
    /// A page of a listing other than the last one.
    Page(Vec<StoreItem>),
    /// All changes since the previous event or the listing.
    Changes {
        /// The changes in order.
        items: Vec<StoreItem>,
        /// Position up to which the changes are complete.
        at: StorePosition,
    },
    /// The entries of nodes, possibly as they were seconds ago.
    Nodes(Vec<StoreItem>),
    /// An answer revealed a later era of the store than all previous ones.
    Era(StoreEra),
}
