//! The HTTP response of an answer.

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

/// Time within which the response begins, and interval of comment lines while no event is ready.
///
/// A caller can so tell a node that waits for its turn from one that has fallen silent.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A server-sent comment line, which callers ignore.
const COMMENT: &[u8] = b": waiting\n\n";

/// Responds with the failure if it comes at once, or with a stream of events.
pub(super) async fn respond(mut source: CallerSource) -> Result<Response<Body>, Problem> {
    let head = match &mut source.head {
        Some(head) => tokio::time::timeout(KEEP_ALIVE, head).await.ok(),
        None => None,
    };
    if let Some(decided) = head {
        source.head = None;
        began(decided)?;
    }
    let body = StreamBody::new(events(source).map(|bytes| Ok(Frame::data(bytes))));
    Ok(Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-store")
        .body(BodyExt::boxed(body))
        .expect("constant headers are valid"))
}

/// What is known of the beginning of an answer.
fn began(decided: Result<Result<(), Problem>, oneshot::error::RecvError>) -> Result<(), Problem> {
    decided.unwrap_or_else(|_| {
        let detail = "the relay ended without an answer";
        Err(problems::target_failed(detail, Verdict::MayHaveRun))
    })
}

/// The events of an answer, with comments in between.
fn events(source: CallerSource) -> impl Stream<Item = Bytes> + Send + Sync {
    futures::stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        match tokio::time::timeout(KEEP_ALIVE, next(&mut source)).await {
            Err(_) => Some((Bytes::from_static(COMMENT), Some(source))),
            Ok(Ok(bytes)) => bytes.map(|bytes| (bytes, Some(source))),
            Ok(Err(problem)) => Some((CallerEvent::Error(problem).to_bytes(), None)),
        }
    })
}

/// The next event; `None` after the last one.
async fn next(source: &mut CallerSource) -> Result<Option<Bytes>, Problem> {
    if let Some(head) = &mut source.head {
        let decided = head.await;
        source.head = None;
        began(decided)?;
    }
    Ok(source.rx.recv().await)
}
