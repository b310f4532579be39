//! Answers of the node itself.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use serde::Serialize;

use super::body::ProxyBody;

/// Longest time to come back that is told, against the shortest: callers that are refused in one
/// moment return over half of their wait, not together.
const RETRY_SPREAD: f64 = 1.5;

#[derive(Serialize)]
struct ProblemBody<'a> {
    status: u16,
    detail: &'a str,
}

/// An answer of the node itself.
pub(crate) fn problem_response(status: StatusCode, detail: &str) -> Response<ProxyBody> {
    let problem = ProblemBody {
        status: status.as_u16(),
        detail,
    };
    let json = serde_json::to_vec(&problem).expect("a problem serializes");
    let mut response = Response::new(ProxyBody::whole(json));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// An answer that the request did not run, with the time to come back; a little later for each of
/// several callers.
pub(crate) fn refusal(detail: &str, retry_after: Duration) -> Response<ProxyBody> {
    let mut response = problem_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    let spread = rand::rng().random_range(1.0..RETRY_SPREAD);
    let seconds = format!("{:.3}", retry_after.as_secs_f64() * spread);
    let value = HeaderValue::try_from(seconds).expect("a number is ASCII");
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}
