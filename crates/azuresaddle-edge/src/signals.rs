//! Messages between traffic, control and other nodes about signals, the response headers in which targets announce rate
//! limits, draining and back-offs.

use std::time::Duration;

use azuresaddle_core::deployment::{RateLimit, TargetSignals, TargetStart};
use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The signals of one answer, as traffic passes them to control.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObservedSignals {
    pub(crate) target: HostName,
    /// The start of the target that sent the answer.
    pub(crate) started: TargetStart,
    /// When the request was sent; signals announced before that may have changed since.
    pub(crate) sent_at: Instant,
    /// When the answer was received.
    pub(crate) received_at: Instant,
    /// Whether the target served a request. Only then a missing header means that a signal ended: failures, load
    /// reports and memory reservations may lack the headers for other reasons.
    pub(crate) is_served: bool,
    pub(crate) signals: TargetSignals,
}

/// Signals of one target, as nodes exchange them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SignalUpdate {
    pub(crate) target: HostName,
    /// The start of the target that sent the signals.
    pub(crate) started: TargetStart,
    pub(crate) is_draining: bool,
    pub(crate) rate_limit: Option<RateLimit>,
    /// Time since the target announced the limit or its end; `None` if it never had one. An age rather than a time,
    /// since clocks of nodes differ.
    pub(crate) limit_age: Option<Duration>,
}
