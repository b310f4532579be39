//! A caller's request, prepared for sending to targets.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_tokens::MAX_TOKENS;
use azuresaddle_core::byte_budget::HeldBytes;
use azuresaddle_core::deployment::{Account, Idempotency, Route};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use http_body_util::Full;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use super::send_gate::SendGate;

/// Hop-by-hop headers, in addition to those named by `Connection`.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authenticate"),
    HeaderName::from_static("proxy-authorization"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that only the node may set. They are removed from the caller's request.
const NODE_HEADERS: [HeaderName; 8] = [
    AUTHORIZATION,
    CONTENT_LENGTH,
    headers::TIME_LEFT_MS,
    headers::ACCOUNT,
    headers::EXPECTED_TARGET,
    headers::ENGINE_PRIORITY,
    headers::HELPERS,
    headers::LAST_EVENT_ID,
];

/// Removes the hop-by-hop headers.
pub(super) fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
}

/// Method, URI and headers of a request, as forwarded to targets.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub(crate) last_event_id: Option<HeaderValue>,
    pub(crate) attempt_id: HeaderValue,
}

impl RequestHead {
    /// The attempt id as text, for logs and names of reservations.
    pub(crate) fn id(&self) -> &str {
        self.attempt_id.to_str().unwrap_or("")
    }

    /// Creates the forwarded head from a caller's request, without the headers that must not be forwarded.
    pub(crate) fn new(
        method: Method,
        uri: Uri,
        mut map: HeaderMap,
        attempt_id: HeaderValue,
    ) -> Self {
        let last_event_id = map.get(&headers::LAST_EVENT_ID).cloned();
        strip_hop_by_hop(&mut map);
        for name in &NODE_HEADERS {
            map.remove(name);
        }
        Self {
            method,
            uri,
            headers: map,
            last_event_id,
            attempt_id,
        }
    }
}

/// A caller's request with everything that determines how it is forwarded.
#[derive(Debug)]
pub(crate) struct ForwardRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: HeldBytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) arrived: Instant,
    /// End of the caller's time limit or of the route's timeout, whichever is first.
    pub(crate) deadline: Instant,
    /// Identifies the request across attempts.
    pub(crate) fingerprint: Fingerprint,
    /// Identify the parts of its prompt that other requests may share; the size of the head bounds them.
    pub(crate) prompt_parts: Vec<Fingerprint>,
    /// Passed before each send.
    pub(crate) gate: SendGate,
}

/// Fingerprints of the parts of a request's prompt that other requests of a service may share.
pub(crate) fn prompt_parts_of(head: &RequestHead, service: &str) -> Vec<Fingerprint> {
    let value = head.headers.get(&headers::PROMPT_PARTS);
    let ids = value.map(headers::parse_shared_parts).unwrap_or_default();
    let mut parts: Vec<Fingerprint> = ids
        .into_iter()
        .map(|id| Fingerprint::of_prompt_part(service, id))
        .collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// Fingerprint of a request: a hash of the account, host, method, path and body.
pub(crate) fn fingerprint_of(
    head: &RequestHead,
    account: Option<&Account>,
    body: &[u8],
) -> Fingerprint {
    let account = account.map_or("", |a| a.name.as_str());
    let host = head
        .headers
        .get(HOST)
        .map_or(&b""[..], HeaderValue::as_bytes);
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    Fingerprint::of(&[
        account.as_bytes(),
        host,
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ])
}

impl ForwardRequest {
    /// Whether the request may run again after a failure.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Name of the account; the empty name for all callers without one.
    pub(crate) fn account_name(&self) -> ClientAccount {
        let name = self.account.as_ref().map(|a| a.name.clone());
        name.unwrap_or_else(|| ClientAccount::new(""))
    }

    /// Priority of the account, or of the route if the account has none; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|a| a.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Prompt tokens and expected answer tokens, if the request states them; at most [`MAX_TOKENS`] each.
    pub(crate) fn token_counts(&self) -> Option<(u64, u64)> {
        let map = &self.head.headers;
        let (prompt, most) = headers::parse_token_counts(map.get(&headers::TOKEN_COUNTS)?)?;
        let estimate = map
            .get(&headers::ANSWER_ESTIMATE)
            .and_then(headers::parse_number);
        let answer = estimate.unwrap_or(most).min(most.max(1));
        Some((prompt.min(MAX_TOKENS), answer.min(MAX_TOKENS)))
    }

    /// Creates the request to send to one target.
    pub(super) fn for_target(&self, options: &SendOptions<'_>) -> Request<Full<HeldBytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        let mut map = self.head.headers.clone();
        let left_ms = self.time_left().as_millis().max(1);
        map.insert(headers::TIME_LEFT_MS, header_value(&left_ms.to_string()));
        map.insert(
            headers::EXPECTED_TARGET,
            header_value(options.target.as_str()),
        );
        if let Some(account) = &self.account {
            map.insert(headers::ACCOUNT, header_value(account.name.as_str()));
        }
        if let Some(id) = options.last_event_id {
            map.insert(headers::LAST_EVENT_ID, id.clone());
        }
        if let Some(helpers) = options.helpers {
            map.insert(headers::HELPERS, header_value(helpers));
        }
        *req.headers_mut() = map;
        req
    }
}

/// Parameters that differ between the sends of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendOptions<'a> {
    pub(super) target: &'a HostName,
    pub(super) last_event_id: Option<&'a HeaderValue>,
    pub(super) helpers: Option<&'a str>,
}

/// Converts text from the platform or this node into a header value. Text that is not valid in a header becomes an empty
/// value, which the target refuses.
fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}
