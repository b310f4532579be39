//! What the stand-ins' HTTP interfaces share.

use std::time::Duration;

use azuresaddle_core::http::read_limited;
use azuresaddle_core::prelude::*;
use hyper::Request;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// A request that makes no sense.
pub(crate) fn bad(detail: impl Into<String>) -> Problem {
    Problem::bad_request(detail)
}

/// The value of a query parameter.
pub(crate) fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let mut pairs = req
        .uri()
        .query()?
        .split('&')
        .filter_map(|p| p.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
    limit: usize,
    timeout: Duration,
) -> Result<T, Problem> {
    let bytes = read_limited(req.into_body(), limit, timeout)
        .await
        .map_err(|e| bad(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))
}
