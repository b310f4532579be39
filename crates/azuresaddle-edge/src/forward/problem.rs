//! Answers that the node generates itself, as `application/problem+json`.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use serde::Serialize;

use super::body::ProxyBody;

/// Upper bound of the random factor by which `Retry-After` is extended. It spreads the retries of callers that were
/// refused at the same moment over half of the wait.
const RETRY_SPREAD: f64 = 1.5;

#[derive(Serialize)]
struct ProblemBody<'a> {
    status: u16,
    detail: &'a str,
}

/// Creates an answer with a status and a detail.
pub(crate) fn problem_response(status: StatusCode, detail: &str) -> Response<ProxyBody> {
    let problem = ProblemBody {
        status: status.as_u16(),
        detail,
    };
    let json = serde_json::to_vec(&problem).expect("a problem serializes");
    let mut response = Response::new(ProxyBody::full(json));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Creates the answer to a request that did not run: status 503 with `Retry-After`, randomly extended by up to half.
pub(crate) fn refusal(detail: &str, retry_after: Duration) -> Response<ProxyBody> {
    let mut response = problem_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    let spread = rand::rng().random_range(1.0..RETRY_SPREAD);
    let seconds = format!("{:.3}", retry_after.as_secs_f64() * spread);
    let value = HeaderValue::try_from(seconds).expect("a number is ASCII");
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}
