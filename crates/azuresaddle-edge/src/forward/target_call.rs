//! Calls that the node itself makes to targets, such as memory reservations and load reports.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::HeldBytes;
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::Instant;

use super::attempt::{SendFailure, keep_alive};
use super::forwarder::Forwarder;
use super::interim_answers::InterimAnswers;

/// Default timeout of a call. Targets answer these calls immediately.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A call of the node to a target.
pub(super) struct TargetCall {
    method: Method,
    path: &'static str,
    body: Vec<u8>,
    /// Longest wait for an answer.
    timeout: Duration,
}

impl TargetCall {
    pub(super) fn get(path: &'static str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout: TIMEOUT,
        }
    }

    pub(super) fn post(path: &'static str, body: Vec<u8>) -> Self {
        Self {
            method: Method::POST,
            path,
            body,
            timeout: TIMEOUT,
        }
    }

    pub(super) fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    fn into_request(self, target: &TargetEntry) -> Request<Full<HeldBytes>> {
        let has_body = !self.body.is_empty();
        let mut req = Request::new(Full::new(HeldBytes::uncounted(self.body)));
        *req.method_mut() = self.method;
        *req.uri_mut() = Uri::from_static(self.path);
        let host = HeaderValue::try_from(target.addr.to_string()).expect("an address is ASCII");
        let map = req.headers_mut();
        map.insert(HOST, host);
        if has_body {
            map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Ok(id) = HeaderValue::from_str(target.id.as_str()) {
            map.insert(headers::EXPECTED_TARGET, id);
        }
        req
    }
}

/// Calls a target and returns the body of its answer.
///
/// # Errors
/// If there is no answer in time, or one with a status other than 200.
pub(super) async fn call_target<N: Network>(
    cx: &Arc<Forwarder<N>>,
    target: &TargetEntry,
    call: TargetCall,
) -> Result<Bytes, SendFailure> {
    tokio::time::timeout(call.timeout, exchange(cx, target, call))
        .await
        .unwrap_or(Err(SendFailure::TimedOut))
}

async fn exchange<N: Network>(
    cx: &Arc<Forwarder<N>>,
    target: &TargetEntry,
    call: TargetCall,
) -> Result<Bytes, SendFailure> {
    let mut connection = cx.connect(target).await?;
    let sent_at = Instant::now();
    let mut req = call.into_request(target);
    let interim = InterimAnswers::count(&mut req);
    let response = tokio::select! {
        biased;
        response = connection.sender().send(req) => response?,
        failure = interim.too_many() => return Err(failure),
    };
    let (parts, body) = response.into_parts();
    // This status means that another server now has the address. Its signals are not the target's.
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        cx.record_signals(target, sent_at, parts.status, &parts.headers, false);
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| SendFailure::Broken(e.to_string()))?;
    if let Some(kept) = keep_alive(&parts.headers) {
        connection.return_to_pool(kept.0);
    }
    if parts.status != StatusCode::OK {
        return Err(SendFailure::Declined {
            status: parts.status,
            at_fault: None,
        });
    }
    Ok(body.to_bytes())
}
