//! Connections for requests to plain services.

use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::SendOutcome;
use tokio::time::Instant;

use super::attempt::{SendFailure, time_until};
use super::forwarder::Forwarder;
use crate::targets::{ConnectError, Connection};

/// Connect timeouts that leave time for another target: at least many round trips between failure domains, so that a
/// target under load is not taken for one that is down, and at most the time after which the pool gives up.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connection attempts that fit into the time left to the latency target, so that two more targets can be tried.
const ATTEMPTS_IN_TIME: u32 = 3;

/// Connection attempts that fit into the time left to the deadline once the latency target has passed.
const LATE_ATTEMPTS: u32 = 4;

/// Connect timeout of a request that can go to another target if this one does not answer; the answer is on time until
/// `in_time_until`.
pub(super) fn connect_timeout(in_time_until: Instant, deadline: Instant) -> Duration {
    let left = time_until(in_time_until);
    let timeout = if left.is_zero() {
        time_until(deadline) / LATE_ATTEMPTS
    } else {
        left / ATTEMPTS_IN_TIME
    };
    timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
}

/// Returns a connection to a plain target within `timeout`, and records if the target accepts none.
pub(super) async fn connect_plain<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    timeout: Duration,
) -> Result<Connection, SendFailure> {
    let began_at = Instant::now();
    match tokio::time::timeout_at(began_at + timeout, cx.connect(target)).await {
        Ok(Ok(connection)) => {
            cx.health.on_connected(&target.id);
            Ok(connection)
        }
        // This node uses up its share of the connections, which says nothing about the target.
        Ok(Err(e @ ConnectError::Limit)) => Err(e.into()),
        Ok(Err(e)) => {
            if matches!(e, ConnectError::Timeout) {
                cx.health.on_connect_timeout(&target.id, began_at);
            }
            cx.observe(target, SendOutcome::NoConnection);
            Err(e.into())
        }
        Err(_) => {
            cx.health.on_connect_timeout(&target.id, began_at);
            if timeout >= MIN_CONNECT_TIMEOUT {
                cx.observe(target, SendOutcome::NoConnection);
            }
            Err(SendFailure::ConnectTimeout)
        }
    }
}
