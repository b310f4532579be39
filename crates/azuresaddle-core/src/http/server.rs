//! HTTP server on top of [`Listener`].

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
use super::peer_ip::PeerIp;
use super::respond::problem;
use crate::net::{Listener, accept};
use crate::problem::Problem;
use crate::spawner::Spawner;

/// Size of the read buffer, as a multiple of the head limit. A head over the limit that fits into
/// the buffer is answered with a problem that states the limit; a longer one gets a bare status.
const READ_BUFFER_FACTOR: usize = 4;

/// Limits on the connections and request heads of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Maximum size of a request head, in bytes.
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

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. Its extensions hold the [`PeerIp`] of the connection if that is known.
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
    spawner.spawn_essential("http listener", async move {
        let slots = Arc::new(Semaphore::new(limits.max_connections));
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let stream = accept(&mut listener).await;
            let handler = Arc::clone(&handler);
            let peer_ip = L::peer_ip(&stream).map(PeerIp);
            tasks.spawn(async move {
                serve_connection(stream, peer_ip, limits, handler).await;
                drop(slot);
            });
        }
    });
}

async fn serve_connection<S, H>(
    stream: S,
    peer_ip: Option<PeerIp>,
    limits: ServerLimits,
    handler: Arc<H>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
    H: Handler,
{
    let service = service_fn(move |mut req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        if let Some(peer_ip) = peer_ip {
            req.extensions_mut().insert(peer_ip);
        }
        async move {
            let response = match check_head(&req, limits.max_header_bytes) {
                Ok(()) => handler.handle(req).await,
                Err(too_large) => problem(&too_large),
            };
            Ok::<_, Infallible>(response)
        }
    });
    // An error here is a broken connection or an invalid request of the caller. The handler itself
    // sees errors of the request body that it reads.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes * READ_BUFFER_FACTOR)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Checks the size of a request head: path, query and header fields.
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
