//! Final answers to requests that can't be finished before the node stops.

use std::time::Duration;

use azuresaddle_core::burn::Sample;
use azuresaddle_core::prelude::*;
use hyper::{Response, StatusCode};

use super::attempt::time_until;
use super::body::ProxyBody;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::problem::{problem_response, refusal};
use crate::shutdown::ShutdownStage;

/// `Retry-After` if the node is stopping. It is short, since the caller retries at another node.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The answer to a request that did not run before the node stops.
pub(crate) fn stopping_refusal() -> Response<ProxyBody> {
    refusal("the node is stopping", RETRY_AFTER)
}

/// Waits until the stop of the node ends a request, and returns its final answer.
///
/// A request that was not sent is refused once new requests are, so that its caller has time left for another node. One
/// that was sent keeps its target until the process is about to end.
pub(super) async fn answer_on_stop<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
) -> Response<ProxyBody> {
    cx.shutdown.until(ShutdownStage::Refusing).await;
    let verdict = tokio::select! {
        biased;
        () = req.gate.close_unsent() => Verdict::NotRun,
        () = cx.shutdown.until(ShutdownStage::Ending) => req.gate.close(),
    };
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        route = %req.route.name,
        verdict = %verdict,
        age_ms = req.arrived.elapsed().as_millis() as u64,
        left_ms = time_until(req.deadline).as_millis() as u64,
        "ended by the stop of the node"
    );
    cx.metrics.on_ended_by_stop(&req.service, verdict);
    let is_refused = verdict == Verdict::NotRun;
    let sample = Sample {
        first_token: None,
        first_token_missed: true,
        deadline_missed: false,
        answered: false,
        refused: is_refused,
    };
    cx.record(req, &sample);
    if is_refused {
        stopping_refusal()
    } else {
        let detail = "the node stopped before the answer";
        problem_response(StatusCode::GATEWAY_TIMEOUT, detail)
    }
}
