//! A drain of a failure domain as a mergeable record: nodes that exchange records converge.

use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use serde::{Deserialize, Serialize};

/// Whether the operator drains a failure domain, as last read from the store.
///
/// The operator alone writes it, so the later position applies. After the store has been rolled back
/// to an older copy, that copy applies until the operator writes again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DomainDrain {
    /// The failure domain.
    pub(crate) domain: FailureDomain,
    /// Whether its targets get no new requests.
    pub(crate) is_active: bool,
    /// Position of the latest known change.
    pub(crate) position: StorePosition,
}
