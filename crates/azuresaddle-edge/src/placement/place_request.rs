//! A stream that needs engines.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::Suspect;
use tokio::time::Instant;

/// A stream that needs engines.
#[derive(Clone, Debug)]
pub(crate) struct PlaceRequest {
    pub(crate) service: Arc<str>,
    pub(crate) account: ClientAccount,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// When the first event is late.
    pub(crate) first_event_by: Instant,
    /// Longest time between two events.
    pub(crate) pause: Duration,
    /// When the caller gives up if it has received no event.
    pub(crate) give_up_at: Instant,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Targets that must not be used, since an earlier attempt failed there.
    pub(crate) exclude: Vec<HostName>,
    /// Set if a target has crashed while it ran the request, which may be the cause.
    pub(crate) suspect: Option<Suspect>,
    /// Priority among the requests of the service; 0 is the most urgent.
    pub(crate) priority: u8,
}
