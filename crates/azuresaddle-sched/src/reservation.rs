//! Reservations in the memory ledger.

use azuresaddle_core::bounded_tokens;
use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::class::Class;
use crate::target::TargetKey;

new_key_type! {
    /// Key of a reservation.
    pub(crate) struct ReservationKey;
}

/// Memory held on targets for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) stream: StreamId,
    pub(crate) node: HostName,
    pub(crate) account: ClientAccount,
    pub(crate) class: Class,
    pub(crate) targets: Vec<TargetKey>,
    /// Memory on each target, in tokens.
    pub(crate) memory_tokens: u64,
    /// Uncached prompt tokens that each target has to process.
    pub(crate) prefill_tokens: f64,
    pub(crate) sent_at: Instant,
    pub(crate) first_token_at: Option<Instant>,
    /// When the memory is expected to be free again.
    pub(crate) ends_at: Instant,
}

/// A running stream as listed by a target, from which a new owner rebuilds its ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LiveStream {
    /// The attempt.
    pub stream: StreamId,
    /// The node that sent the request.
    pub node: HostName,
    /// The client account of the request.
    pub account: ClientAccount,
    /// Memory held, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub memory_tokens: u64,
    /// Whether the first token has been sent.
    pub decoding: bool,
}
