//! Finds whether a target that broke off an answer has ended.

use std::io::ErrorKind;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;

use super::attempt::until;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use crate::targets::ConnectError;

/// Longest wait for a connection to a target that broke off: many times a round trip, and the caller waits
/// meanwhile.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Notes that a target has ended while it had a request, where it has.
pub(super) async fn note_crash<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
) {
    // At its deadline a caller is not kept waiting for more.
    if until(req.deadline).is_zero() || !has_ended(cx, target).await {
        return;
    }
    cx.metrics.on_target_crash(&req.service);
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        fingerprint = %req.fingerprint,
        target = %target.id,
        "target ended"
    );
    cx.quarantine.on_crash(req.fingerprint, target);
}

/// Whether nothing listens at the target's address any more. A connection that is reset on the way, or an
/// answer that can't be read, breaks off too, but the target takes a new connection then.
async fn has_ended<N: Network>(cx: &Forwarder<N>, target: &TargetEntry) -> bool {
    let share = cx.connection_share(target);
    let connect = cx.connections.checkout_new(&target.id, target.addr, share);
    match tokio::time::timeout(TIMEOUT, connect).await {
        Ok(Ok(connection)) => {
            connection.give_back(None);
            false
        }
        Ok(Err(ConnectError::Refused(e))) => e.kind() == ErrorKind::ConnectionRefused,
        // What can't be found out is no crash.
        Ok(Err(_)) | Err(_) => false,
    }
}
