//! Processes the signals in the headers of targets' answers.

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::decode_signals;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::time::Instant;

use super::forwarder::Forwarder;
use crate::signals::ObservedSignals;

impl<N: Network> Forwarder<N> {
    /// Applies the signals in a target's answer to something that was sent at `sent_at`, and passes them on to control.
    /// `is_served` is set if the target served a request of a caller, in which case the answer would repeat a rate limit
    /// that is in force.
    pub(super) fn record_signals(
        &self,
        target: &TargetEntry,
        sent_at: Instant,
        status: StatusCode,
        map: &HeaderMap,
        is_served: bool,
    ) {
        let decoded = decode_signals(map);
        for name in &decoded.unreadable {
            self.metrics.unreadable_signals.inc();
            tracing::warn!(part = "forward", target = %target.id, header = %name, "can't parse the signal header");
        }
        let signals = decoded.signals;
        let back_off = signals
            .back_off
            .filter(|time| allows_back_off(status) && !time.is_zero());
        if let Some(back_off) = back_off {
            self.health.back_offs().start(&target.id, back_off);
            self.metrics.on_target_signal("back-off");
            let back_off_ms = back_off.as_millis() as u64;
            tracing::info!(part = "forward", target = %target.id, back_off_ms, "target asks to back off");
        }
        let is_limited = self.snapshots.load().rate_limits.contains_key(&target.id);
        if !signals.is_draining && signals.rate_limit.is_none() && !is_limited {
            return;
        }
        let observed = ObservedSignals {
            target: target.id.clone(),
            started: target.started,
            sent_at,
            received_at: Instant::now(),
            is_served,
            signals,
        };
        if self.signals.try_send(observed).is_err() {
            // The target repeats them in its next answer.
            tracing::warn!(part = "forward", target = %target.id, "dropped the target's signals: the queue to control is full");
        }
    }
}

/// Whether an answer with this status may start a back-off.
fn allows_back_off(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}
