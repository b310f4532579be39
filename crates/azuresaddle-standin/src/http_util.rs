//! HTTP helpers shared by the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::{HttpClient, read_limited};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// Problem reported for an invalid request.
pub(crate) fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::bad_request(detail)
}

/// The value of a query parameter.
pub(crate) fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let mut pairs = req
        .uri()
        .query()?
        .split('&')
        .filter_map(|p| p.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

/// Reads a JSON body of at most `limit` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
    limit: usize,
    timeout: Duration,
) -> Result<T, Problem> {
    let bytes = read_limited(req.into_body(), limit, timeout)
        .await
        .map_err(|e| bad_request(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| bad_request(e.to_string()))
}

/// Timeout of a `GET` with a small response, for the head and for the body.
const SMALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a small response body, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// Status and body of a `GET`; `None` if there is no response in time.
async fn get_small(addr: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let client = HttpClient::new(TcpNetwork, Spawner::current());
    let req = Request::builder().uri(path).body(Full::default()).ok()?;
    let response = client.send(addr, req, SMALL_TIMEOUT).await.ok()?;
    let status = response.status().as_u16();
    let body = read_limited(response.into_body(), SMALL_BYTES, SMALL_TIMEOUT).await;
    Some((status, body.ok()?))
}

/// Status of a `GET`; `None` if there is no response in time.
pub async fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    Some(get_small(addr, path).await?.0)
}

/// Text of a successful `GET`.
pub(crate) async fn get_text(addr: SocketAddr, path: &str) -> Option<String> {
    let (status, body) = get_small(addr, path).await?;
    (status == 200).then(|| String::from_utf8_lossy(&body).into_owned())
}

/// JSON of a successful `GET`.
pub(crate) async fn get_json(addr: SocketAddr, path: &str) -> Option<serde_json::Value> {
    let (status, body) = get_small(addr, path).await?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}
