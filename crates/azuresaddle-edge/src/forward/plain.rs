//! Requests to plain services.

use std::sync::Arc;

use azuresaddle_core::byte_budget::{HeldFor, ReadLimits, WhenFull};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use hyper::Response;
use tokio::sync::watch;
use tokio::time::Instant;

use super::attempt::{SendFailure, time_until};
use super::body::ProxyBody;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::plain_request::{PlainRequest, Step};
use super::plain_send::send_observed;
use super::room_claims::RoomClaims;
use super::sends_in_flight::{PlainSend, SendsInFlight};

/// Detail of the answer to a quarantined request.
pub(super) const QUARANTINE_DETAIL: &str = "targets crash when they run this request";

/// Forwards a request to a plain service, with retries at other targets.
///
/// While all targets that have the request are silent, it is also sent to another one, and the first usable answer counts.
pub(super) async fn forward_plain<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &Arc<ForwardRequest>,
) -> Response<ProxyBody> {
    let mut request = PlainRequest::new(cx, req);
    let room = RoomClaims::default();
    let mut sends = SendsInFlight::new();
    loop {
        match request.next_step(&mut sends).await {
            Step::Send((target, guard)) => {
                request.log_hedge(&sends, &target);
                let connect = request.connect_limit(&sends, &target);
                let send = PlainSend {
                    target: Arc::clone(&target),
                    sent_at: Instant::now(),
                };
                let (silence, is_silent) = watch::channel(false);
                let result = send_observed(cx, req, target, connect, silence, &room);
                sends.push(send, is_silent, guard, result);
            }
            Step::SendEnded(send, Ok(answer)) => {
                if let Some(response) = request.on_answer(&mut sends, &send, answer) {
                    return response;
                }
            }
            Step::SendEnded(send, Err(failure)) => {
                if let Some(response) = request.on_failure(&sends, &send, &failure).await {
                    return response;
                }
            }
            Step::Respond(response) => return response,
        }
    }
}

/// Logs and counts the refusal of a quarantined request.
pub(super) fn record_quarantine_refusal<N: Network>(cx: &Forwarder<N>, req: &ForwardRequest) {
    cx.metrics.on_quarantine_refusal(&req.service);
    let parts = cx
        .quarantine
        .parts_to_blame(req.fingerprint, &req.prompt_parts);
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        fingerprint = %req.fingerprint,
        prompt_parts = ?parts,
        "request in quarantine"
    );
}

pub(super) fn record_failure<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    failure: &SendFailure,
) {
    cx.metrics.on_send(&target.service, failure.label());
    let is_at_fault = || cx.paths.is_at_fault(&target.id);
    match failure {
        SendFailure::WrongTarget => cx.health.on_address_reused(&target.id),
        SendFailure::Declined { .. } => cx.health.on_refused(&target.id),
        SendFailure::InBackOff => cx.metrics.on_held_back(&target.service, "back-off"),
        SendFailure::TimedOut | SendFailure::Overtaken => {
            cx.connections.drop_idle(&target.id);
            if !is_at_fault() {
                cx.health.on_failure(&target.id);
            }
        }
        SendFailure::NotSent(_)
        | SendFailure::ConnectTimeout
        | SendFailure::NoPath
        | SendFailure::Broken(_)
        | SendFailure::Stalled { .. } => {
            if !is_at_fault() {
                cx.health.on_failure(&target.id);
            }
        }
        // The node is at fault, not the target.
        SendFailure::NoRoom | SendFailure::Stopping | SendFailure::Superfluous => {}
    }
}

/// Limits on reading a complete answer. It may have taken an engine's time, so it waits for memory if there is none.
pub(super) fn answer_limits(max_bytes: usize, end: Instant) -> ReadLimits {
    ReadLimits {
        held_for: HeldFor::Caller,
        max_bytes,
        max_pause: time_until(end),
        end,
        when_full: WhenFull::Wait,
    }
}
