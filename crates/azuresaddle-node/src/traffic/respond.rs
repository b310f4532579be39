//! The HTTP response that carries an answer.

use std::time::Duration;

use azuresaddle_core::http::Body;
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};
use tokio::sync::oneshot;

use super::caller_events::CallerEvent;
use super::problems;
use super::sink::CallerSource;

/// Maximum time until the response begins, and interval of comment lines while no event is ready.
///
/// They let a caller tell a queued request from a node that no longer responds.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A comment line of server-sent events, which callers ignore.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// Responds with the problem if the request fails within [`KEEP_ALIVE_INTERVAL`], else with a
/// stream of events.
pub(super) async fn respond(mut source: CallerSource) -> Result<Response<Body>, Problem> {
    let head = match &mut source.head {
        Some(head) => tokio::time::timeout(KEEP_ALIVE_INTERVAL, head).await.ok(),
        None => None,
    };
    if let Some(head_result) = head {
        source.head = None;
        check_head(head_result)?;
    }
    let body = StreamBody::new(event_stream(source).map(|bytes| Ok(Frame::data(bytes))));
    Ok(Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-store")
        .body(BodyExt::boxed(body))
        .expect("constant headers are valid"))
}

/// Fails if the request failed before its first event, or if the relay ended without a result.
fn check_head(
    head_result: Result<Result<(), Problem>, oneshot::error::RecvError>,
) -> Result<(), Problem> {
    head_result.unwrap_or_else(|_| {
        let detail = "the relay ended without an answer";
        Err(problems::target_failed(detail, Verdict::MayHaveRun))
    })
}

/// The encoded events of an answer, with comment lines while none is ready.
fn event_stream(source: CallerSource) -> impl Stream<Item = Bytes> + Send + Sync {
    futures::stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        match tokio::time::timeout(KEEP_ALIVE_INTERVAL, next_event(&mut source)).await {
            Err(_) => Some((Bytes::from_static(KEEP_ALIVE_COMMENT), Some(source))),
            Ok(Ok(bytes)) => bytes.map(|bytes| (bytes, Some(source))),
            Ok(Err(problem)) => Some((CallerEvent::Error(problem).to_bytes(), None)),
        }
    })
}

/// Waits for the next encoded event; returns `None` after the last one.
async fn next_event(source: &mut CallerSource) -> Result<Option<Bytes>, Problem> {
    if let Some(head) = &mut source.head {
        let head_result = head.await;
        source.head = None;
        check_head(head_result)?;
    }
    Ok(source.rx.recv().await)
}
