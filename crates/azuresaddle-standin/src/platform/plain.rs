//! Targets of plain services.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_platform::headers;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};

use super::body::{ChannelBody, Chunk};
use super::target::{RequestHandler, Target, TargetFault, header_text, read_body};

/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Answers after a short delay with a text that is unique to the attempt, so that a caller can detect the
/// answer to another request.
pub(super) struct PlainHandler;

/// Path whose answers have [`LONG_BODY_BYTES`].
pub(crate) const LONG_PATH: &str = "/note/long";

/// Length of a long body: more than the socket buffers between a node and a caller hold.
pub(crate) const LONG_BODY_BYTES: usize = 360_000;

/// Returns the body of the answer to an attempt.
pub(super) fn plain_body(attempt: &str) -> String {
    format!("answer to {attempt}\n")
}

impl RequestHandler for PlainHandler {
    async fn run(
        self: Arc<Self>,
        target: Arc<Target>,
        req: Request<Incoming>,
    ) -> Response<ChannelBody> {
        let map = req.headers().clone();
        let attempt = header_text(&map, headers::ATTEMPT_ID.as_str());
        let is_long = req.uri().path() == LONG_PATH;
        let body = read_body(req).await;
        target.record_run(&map);
        if target
            .crashing_requests
            .crash_if_listed(&target, &map, &body)
        {
            return std::future::pending().await;
        }
        tokio::time::sleep(SERVICE_TIME).await;
        match target.fault() {
            TargetFault::Silent => std::future::pending::<()>().await,
            TargetFault::AnswersLost | TargetFault::AbortsAnswers => {
                let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
                // Dropping the sender aborts the body after these bytes.
                let _ = tx.send(Chunk::Data(bytes::Bytes::from_static(b"ans")));
                return target.answer(&attempt, ChannelBody(rx));
            }
            _ => {}
        }
        let body = if is_long {
            "x".repeat(LONG_BODY_BYTES)
        } else {
            plain_body(&attempt)
        };
        let mut response = target.answer(&attempt, ChannelBody::whole(body));
        let load = HeaderValue::from_static("1,0,6");
        response.headers_mut().insert(headers::TARGET_LOAD, load);
        response
    }
}
