//! Answers of the node itself.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::body::ProxyBody;

#[derive(Serialize)]
struct ProblemBody<'a> {
    status: u16,
    detail: &'a str,
}

/// An answer of the node itself.
pub(crate) fn own_answer(status: StatusCode, detail: &str) -> Response<ProxyBody> {
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

/// An answer that the request did not run, with the time to come back.
pub(crate) fn refusal(detail: &str, retry_after: Duration) -> Response<ProxyBody> {
    let mut response = own_answer(StatusCode::SERVICE_UNAVAILABLE, detail);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    let value = HeaderValue::try_from(seconds).expect("a number is ASCII");
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}
