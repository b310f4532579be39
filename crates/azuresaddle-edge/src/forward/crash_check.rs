//! Detects whether a target that did not answer has crashed.

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

/// Longest wait for a connection to a target that did not answer. This is many times a round trip, also if some of the
/// nodes that are asked for a tunnel are silent; it must be short, since the caller waits meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks whether a target has crashed after it gave no answer to a request that it may have run, and records a crash for
/// the request and for the most suspicious `parts` of its prompt if so. Otherwise keeps the send, since the crash may show
/// later.
pub(super) async fn check_for_crash<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    parts: &[Fingerprint],
    target: &TargetEntry,
    sent_at: Instant,
) {
    let targets = Arc::clone(&cx.snapshots.load().targets);
    let target = &cx.quarantine.target_at_send(&targets, target, sent_at);
    let parts = cx.quarantine.parts_to_blame(req.fingerprint, parts);
    // The check must not delay the answer beyond the deadline.
    if !time_until(req.deadline).is_zero() && has_crashed(cx, target).await {
        tracing::info!(
            part = "forward",
            request = req.head.id(),
            fingerprint = %req.fingerprint,
            prompt_parts = ?parts,
            target = %target.id,
            "target ended"
        );
        cx.metrics.on_target_crash(&req.service);
        cx.quarantine.on_crash(req.fingerprint, target, sent_at);
        for part in parts {
            cx.quarantine.on_crash(part, target, sent_at);
        }
    } else {
        let attempt_id = req.head.id().to_owned();
        cx.broken_sends.push(BrokenSend {
            attempt_id,
            fingerprint: req.fingerprint,
            prompt_parts: parts,
            target: target.clone(),
            sent_at,
            broken_at: Instant::now(),
        });
    }
}

/// Records that a target has lived on for [`SURVIVAL_TIME`] after it began to answer a request, which clears the parts of
/// the prompt.
pub(super) fn record_survived_parts<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
) {
    cx.quarantine
        .on_survived_parts(req.fingerprint, &req.prompt_parts, run_hash(req), target);
}

/// Records a successful run of a request and of the `parts` of its prompt, once the target has survived it for
/// [`SURVIVAL_TIME`]: the answer may be complete although the request makes the target crash right after it.
pub(super) fn record_successful_run<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
    parts: &[Fingerprint],
    target: &TargetEntry,
    sent_at: Instant,
) {
    let run = run_hash(req);
    let (mut known, unknown) = cx.quarantine.partition_known(parts);
    cx.quarantine
        .remember_successful_parts(req.fingerprint, &unknown, run, target);
    if cx.quarantine.knows(req.fingerprint) {
        known.insert(0, req.fingerprint);
    } else {
        let fingerprint = req.fingerprint;
        let run = SuccessfulRun { fingerprint, run };
        cx.quarantine.remember_successful_run(run, target);
    }
    if known.is_empty() {
        return;
    }
    let (cx, target) = (Arc::clone(cx), target.clone());
    cx.spawner.clone().spawn(async move {
        tokio::time::sleep(SURVIVAL_TIME).await;
        // A restart that was before the send is no crash: the restarted target served the request.
        let targets = Arc::clone(&cx.snapshots.load().targets);
        let target = cx.quarantine.target_at_send(&targets, &target, sent_at);
        if targets.has_restarted(&target) || has_crashed(&cx, &target).await {
            for fingerprint in known {
                tracing::info!(
                    part = "forward",
                    %fingerprint,
                    target = %target.id,
                    "target crashed after a complete answer"
                );
                cx.quarantine.on_crash(fingerprint, &target, sent_at);
            }
        } else {
            for fingerprint in known {
                let run = SuccessfulRun { fingerprint, run };
                cx.quarantine.on_successful_run(run);
            }
        }
    });
}

/// Identifies a run of a request.
fn run_hash(req: &ForwardRequest) -> u64 {
    xxhash_rust::xxh3::xxh3_64(req.head.id().as_bytes())
}

/// Whether nothing listens at the target's address any more, also according to nodes that reach other targets. A send also
/// fails if the network resets the connection or the answer can't be parsed, but then the target accepts a new connection.
async fn has_crashed<N: Network>(cx: &Forwarder<N>, target: &TargetEntry) -> bool {
    let share = cx.connection_share(target);
    let connect = cx.connections.checkout_new(&target.id, target.addr, share);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(connection)) => {
            connection.return_to_pool(None);
            false
        }
        Ok(Err(ConnectError::Refused(e))) => e.kind() == ErrorKind::ConnectionRefused,
        // Inconclusive results don't count as a crash.
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Records a crash for each broken send whose target has since restarted.
pub(super) fn record_late_crashes<N: Network>(cx: &Forwarder<N>) {
    let snapshot = cx.snapshots.load();
    for broken in cx.broken_sends.take_crashed(&snapshot.targets) {
        tracing::info!(
            part = "forward",
            request = broken.attempt_id,
            fingerprint = %broken.fingerprint,
            target = %broken.target.id,
            "target of a broken send has restarted"
        );
        cx.metrics.on_target_crash(&broken.target.service);
        for fingerprint in [&[broken.fingerprint], &broken.prompt_parts[..]].concat() {
            cx.quarantine
                .on_crash(fingerprint, &broken.target, broken.sent_at);
        }
    }
}
