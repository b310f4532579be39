//! Finds whether a target that gave no answer has ended.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{SURVIVAL_TIME, SuccessfulRun};
use tokio::time::Instant;

use super::attempt::time_until;
use super::broken_sends::BrokenSend;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use crate::targets::ConnectError;

/// Longest wait for a connection to a target that gave no answer: many times a round trip, and the caller waits
/// meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Notes that a target gave no answer to a request that it may have run: it may have ended by it.
pub(super) async fn check_for_crash<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
    sent_at: Instant,
) {
    // At its deadline a caller is not kept waiting for more.
    if !time_until(req.deadline).is_zero() && has_ended(cx, target).await {
        tracing::info!(
            part = "forward",
            request = req.head.id(),
            fingerprint = %req.fingerprint,
            target = %target.id,
            "target ended"
        );
        cx.metrics.on_target_crash(&req.service);
        cx.quarantine.on_crash(req.fingerprint, target, sent_at);
    } else {
        let attempt_id = req.head.id().to_owned();
        cx.broken_sends.push(BrokenSend {
            attempt_id,
            fingerprint: req.fingerprint,
            target: target.clone(),
            sent_at,
            broken_at: Instant::now(),
        });
    }
}

/// Notes that a run came to a good end, once it is known whether its target survived it: an answer may be whole although
/// the target goes down by it right after.
pub(super) fn record_good_end<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
    target: &TargetEntry,
    sent_at: Instant,
) {
    let end = SuccessfulRun {
        fingerprint: req.fingerprint,
        run: xxhash_rust::xxh3::xxh3_64(req.head.id().as_bytes()),
    };
    if !cx.quarantine.knows(req.fingerprint) {
        return cx.quarantine.remember_good_end(end, target);
    }
    let (cx, target) = (Arc::clone(cx), target.clone());
    cx.spawner.clone().spawn(async move {
        tokio::time::sleep(SURVIVAL_TIME).await;
        let has_restarted = cx.snapshots.load().targets.has_restarted(&target);
        // It may have come back before the send, and its later start have served the request.
        let has_restarted = has_restarted && !cx.quarantine.has_ended_before(&target, sent_at);
        if has_restarted || has_ended(&cx, &target).await {
            tracing::info!(
                part = "forward",
                fingerprint = %end.fingerprint,
                target = %target.id,
                "target ended after a whole answer"
            );
            cx.quarantine.on_crash(end.fingerprint, &target, sent_at);
        } else {
            cx.quarantine.on_good_end(end);
        }
    });
}

/// Whether nothing listens at the target's address any more. A connection that is reset on the way, or an
/// answer that can't be read, breaks off too, but the target takes a new connection then.
async fn has_ended<N: Network>(cx: &Forwarder<N>, target: &TargetEntry) -> bool {
    let share = cx.connection_share(target);
    let connect = cx.connections.checkout_new(&target.id, target.addr, share);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(connection)) => {
            connection.return_to_pool(None);
            false
        }
        Ok(Err(ConnectError::Refused(e))) => e.kind() == ErrorKind::ConnectionRefused,
        // What can't be found out is no crash.
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Notes crashes that show only now: a target of an unexplained break has started again.
pub(super) fn record_late_crashes<N: Network>(cx: &Forwarder<N>) {
    let snapshot = cx.snapshots.load();
    for broken in cx.broken_sends.take_ended(&snapshot.targets) {
        tracing::info!(
            part = "forward",
            request = broken.attempt_id,
            fingerprint = %broken.fingerprint,
            target = %broken.target.id,
            "target had ended"
        );
        cx.metrics.on_target_crash(&broken.target.service);
        cx.quarantine
            .on_crash(broken.fingerprint, &broken.target, broken.sent_at);
    }
}
