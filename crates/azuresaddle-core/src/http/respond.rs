//! JSON and problem responses.

use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::body::{Body, full};
use crate::problem::Problem;

/// Media type of a problem body (RFC 9457).
const PROBLEM_JSON: &str = "application/problem+json";

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("wire types serialize");
    build(status, "application/json", bytes)
}

/// Builds a failure response; its `Retry-After` header is rounded up to whole seconds.
pub fn problem(problem: &Problem) -> Response<Body> {
    let bytes = serde_json::to_vec(problem).expect("a problem serializes");
    let mut response = build(problem.status_code(), PROBLEM_JSON, bytes);
    if let Some(ms) = problem.retry_after_ms {
        let seconds = ms.div_ceil(1000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn build(status: StatusCode, content_type: &str, bytes: Vec<u8>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(bytes))
        .expect("constant headers are valid")
}
