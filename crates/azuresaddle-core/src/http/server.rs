//! HTTP server over the network seam.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;

use super::body::Body;
use super::respond::problem;
use crate::net::Listener;
use crate::problem::Problem;
use crate::spawner::Spawner;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Part of a head beyond its limit that is still read, to answer with a problem that says so; a
/// longer one is answered with a bare status.
const READ_BUFFER_FACTOR: usize = 4;

/// Bounds on what one server takes.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Most connections at a time; more wait to be accepted.
    pub max_connections: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 16 << 10,
        }
    }
}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Accepts and serves connections until the spawner is killed.
pub fn serve<L, H>(mut listener: L, spawner: Spawner, limits: ServerLimits, handler: Arc<H>)
where
    L: Listener,
    L::Stream: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
    H: Handler,
{
    let tasks = spawner.clone();
    spawner.spawn(async move {
        let slots = Arc::new(Semaphore::new(limits.max_connections));
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let Ok(stream) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let handler = Arc::clone(&handler);
            tasks.spawn(async move {
                serve_connection(stream, limits, handler).await;
                drop(slot);
            });
        }
    });
}

async fn serve_connection<S, H>(stream: S, limits: ServerLimits, handler: Arc<H>)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
    H: Handler,
{
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move {
            let response = match check_head(&req, limits.max_header_bytes) {
                Ok(()) => handler.handle(req).await,
                Err(too_large) => problem(&too_large),
            };
            Ok::<_, Infallible>(response)
        }
    });
    // An error here is a broken or misbehaving caller; the handler has seen its own part of it.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes * READ_BUFFER_FACTOR)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Checks the size of a request's head.
fn check_head(req: &Request<Incoming>, limit: usize) -> Result<(), Problem> {
    let uri = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let headers = req.headers().iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if uri + size <= limit {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let detail = format!("the head of the request is longer than {limit} bytes");
    Err(Problem::not_run(status, "head-too-large", detail))
}
