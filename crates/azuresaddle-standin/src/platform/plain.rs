//! Targets of plain services.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_platform::headers;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};

use super::body::{Piece, PieceBody};
use super::target::{Target, TargetFault, Work, text_of, whole_body};

/// Time to work on a request.
const WORK: Duration = Duration::from_millis(5);

/// Does a little work and answers with a text that only the request's own answer can be.
pub(super) struct PlainWork;

/// Body of the answer to an attempt.
pub(super) fn plain_body(attempt: &str) -> String {
    format!("answer to {attempt}\n")
}

impl Work for PlainWork {
    async fn run(
        self: Arc<Self>,
        target: Arc<Target>,
        req: Request<Incoming>,
    ) -> Response<PieceBody> {
        let map = req.headers().clone();
        let attempt = text_of(&map, headers::ATTEMPT_ID.as_str());
        let body = whole_body(req).await;
        target.begin(&map);
        if target.crashes.on_run(&target, &body) {
            return std::future::pending().await;
        }
        tokio::time::sleep(WORK).await;
        match target.fault() {
            TargetFault::Mute => std::future::pending::<()>().await,
            TargetFault::AnswersLost | TargetFault::BreaksOff => {
                let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
                // Begun and broken off.
                let _ = tx.send(Piece::Data(bytes::Bytes::from_static(b"ans")));
                return target.answer(&attempt, PieceBody(rx));
            }
            _ => {}
        }
        let mut response = target.answer(&attempt, PieceBody::whole(plain_body(&attempt)));
        let load = HeaderValue::from_static("1,0,6");
        response.headers_mut().insert(headers::TARGET_LOAD, load);
        response
    }
}
