//! HTTP server of a stand-in target, shared by engines and plain services.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_platform::headers;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::ChannelBody;
use super::crashing_requests::CrashingRequests;
use super::runs::Runs;
use super::signals::Signals;

/// A fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// Runs requests but never answers them.
    Silent,
    /// Declines every request.
    DeclinesAll,
    /// Runs requests and loses the answers: engines send no events, plain targets abort the body.
    AnswersLost,
    /// Aborts answers in the middle: engines inside an event after the first one, plain targets inside the
    /// body.
    AbortsAnswers,
    /// Answers with the id of another request.
    WrongAttemptId,
    /// Each pass takes 1.6 s longer.
    Stalls,
    /// Each pass takes four times as long, and the load report states this pace.
    Slow,
    /// Executes orders but does not answer them.
    OrdersUnanswered,
    /// Executes orders with a long delay and does not answer them.
    OrdersLate,
}

/// A request of a caller as it arrived at a target.
#[derive(Clone, Debug)]
pub struct ArrivedRequest {
    /// When it arrived.
    pub at: Instant,
    /// Id of the attempt.
    pub attempt: String,
    /// Back-off with which the target rejected the request, if it did.
    pub back_off: Option<Duration>,
}

/// Handles the requests that a target accepts; engines and plain services implement it.
pub(super) trait RequestHandler: Send + Sync + 'static {
    /// Runs a request and answers it.
    fn run(
        self: Arc<Self>,
        target: Arc<Target>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ChannelBody>> + Send;
}

/// A running target.
pub(super) struct Target {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) addr: SocketAddr,
    /// Time of its start, in Unix milliseconds.
    pub(super) started_ms: u64,
    /// Number of entries written since this start.
    pub(super) entries_written: AtomicU64,
    pub(super) runs: Runs,
    /// Requests that crash the target.
    pub(super) crashing_requests: CrashingRequests,
    pub(super) fault: Mutex<TargetFault>,
    pub(super) signals: Mutex<Signals>,
    /// Requests of callers that arrived since this start.
    pub(super) arrivals: Mutex<Vec<ArrivedRequest>>,
    /// Cancelled when the target stops accepting connections.
    pub(super) accept_stopped: CancellationToken,
    pub(super) stopped: CancellationToken,
}

/// Controls a running target.
#[derive(Clone)]
pub struct TargetHandle {
    pub(super) target: Arc<Target>,
}

impl TargetHandle {
    /// Returns the target's id, which it keeps when it restarts.
    pub fn id(&self) -> &str {
        &self.target.id
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.target.addr
    }

    /// Sets the fault of the target, or clears it with [`TargetFault::None`].
    pub fn set_fault(&self, fault: TargetFault) {
        *lock(&self.target.fault) = fault;
    }

    /// Sets the signals that the target announces in all its answers.
    pub fn set_signals(&self, signals: Signals) {
        *lock(&self.target.signals) = signals;
    }

    /// Returns the requests of callers that arrived since this start, including rejected ones.
    pub fn arrivals(&self) -> Vec<ArrivedRequest> {
        lock(&self.target.arrivals).clone()
    }

    /// Returns whether the target has stopped.
    pub fn has_ended(&self) -> bool {
        self.target.stopped.is_cancelled()
    }

    /// Kills the target and breaks all its connections.
    pub fn kill(&self) {
        self.target.stopped.cancel();
    }
}

impl Target {
    pub(super) fn fault(&self) -> TargetFault {
        *lock(&self.fault)
    }

    fn signals(&self) -> Signals {
        *lock(&self.signals)
    }

    /// Records that this target starts to run a request.
    pub(super) fn record_run(&self, map: &HeaderMap) {
        let attempt = header_text(map, headers::ATTEMPT_ID.as_str());
        let account = map.get(headers::ACCOUNT).and_then(|v| v.to_str().ok());
        let has_key = map.contains_key(AUTHORIZATION);
        self.runs
            .record_run(&attempt, &self.service, account, has_key);
    }

    /// Returns an answer which states that the request did not run.
    pub(super) fn decline(&self, status: StatusCode) -> Response<ChannelBody> {
        let mut response = Response::new(ChannelBody::whole(""));
        *response.status_mut() = status;
        let map = response.headers_mut();
        map.insert(headers::NOT_RUN, HeaderValue::from_static("1"));
        response
    }

    /// Returns an answer to a request that ran.
    pub(super) fn answer(&self, attempt: &str, body: ChannelBody) -> Response<ChannelBody> {
        let mut response = Response::new(body);
        let map = response.headers_mut();
        let id = match self.fault() {
            TargetFault::WrongAttemptId => "0000000000000000",
            _ => attempt,
        };
        let signature = format!("{}.{attempt}", self.id);
        for (name, value) in [
            (headers::ATTEMPT_ID, id),
            (headers::SIGNATURE, signature.as_str()),
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(name, value);
            }
        }
        response
    }
}

/// Returns the value of a header as text; empty if it is missing.
pub(super) fn header_text(map: &HeaderMap, name: &str) -> String {
    let value = map.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or("").to_owned()
}

/// Reads the body of a request; empty if the body is incomplete.
pub(super) async fn read_body(req: Request<Incoming>) -> Bytes {
    let body = req.into_body().collect().await;
    body.map(|b| b.to_bytes()).unwrap_or_default()
}

/// Serves a target until it is stopped.
pub(super) fn serve_target<W: RequestHandler>(
    listener: TcpListener,
    target: Arc<Target>,
    handler: Arc<W>,
) {
    let stopped = target.stopped.clone();
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stopped.cancelled() => return,
                () = target.accept_stopped.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let target = Arc::clone(&target);
            let handler = Arc::clone(&handler);
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let service = service_fn(move |req| {
                    let target = Arc::clone(&target);
                    let handler = Arc::clone(&handler);
                    async move { Ok::<_, Infallible>(handle_request(target, handler, req).await) }
                });
                let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    () = stopped.cancelled() => {}
                    // The caller notices a broken connection itself.
                    _ = conn => {}
                }
            });
        }
    });
}

async fn handle_request<W: RequestHandler>(
    target: Arc<Target>,
    handler: Arc<W>,
    req: Request<Incoming>,
) -> Response<ChannelBody> {
    let expected = header_text(req.headers(), headers::EXPECTED_TARGET.as_str());
    if !expected.is_empty() && expected != target.id {
        let mut response = Response::new(ChannelBody::whole(""));
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    let is_request = req.headers().contains_key(&headers::ATTEMPT_ID);
    let back_off = target.signals().back_off.filter(|_| is_request);
    if is_request {
        lock(&target.arrivals).push(ArrivedRequest {
            at: Instant::now(),
            attempt: header_text(req.headers(), headers::ATTEMPT_ID.as_str()),
            back_off,
        });
    }
    let mut response = if back_off.is_some() || target.fault() == TargetFault::DeclinesAll {
        target.decline(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        handler.run(Arc::clone(&target), req).await
    };
    target.signals().add_to(response.headers_mut());
    response
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
