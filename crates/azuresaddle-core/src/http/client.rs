//! HTTP client on top of [`Network`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::body::{BodyError, read_limited};
use super::error::HttpError;
use super::request_sender::{RequestSender, SendError};
use crate::net::Network;
use crate::spawner::Spawner;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a JSON response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Maximum length of a failure body kept in [`HttpError::Status`], in characters.
const MAX_ERROR_CHARS: usize = 300;

/// Sends HTTP requests, each on a new connection.
///
/// Connections are not reused, since an open connection can go silent permanently while new ones
/// work. At the intended deployment size a node opens about twenty connections a second, and
/// opening one costs far less than a request.
#[derive(Clone)]
pub struct HttpClient<N> {
    net: N,
    spawner: Spawner,
}

impl<N: Network> HttpClient<N> {
    /// Creates a client that spawns its connection tasks on `spawner`.
    pub fn new(net: N, spawner: Spawner) -> Self {
        Self { net, spawner }
    }

    /// Sends a request and returns the response head; the body is streamed.
    ///
    /// # Errors
    /// Returns an error if no connection is made, the connection breaks or the response head does
    /// not arrive within `timeout`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let connect = self.net.connect(addr);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), connect)
            .await
            .map_err(|_| HttpError::ConnectTimeout)?
            .map_err(HttpError::Connect)?;
        if !req.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(&addr.to_string()).expect("an address is ASCII");
            req.headers_mut().insert(HOST, host);
        }
        let exchange = async {
            let opened = RequestSender::open(&http1::Builder::new(), stream).await;
            let (mut tx, conn) = opened.map_err(SendError::NotSent)?;
            self.spawner.spawn(async move {
                // Connection errors are also reported by the sender and the response body.
                let _ = conn.await;
            });
            tx.send(req).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| HttpError::Timeout)?
            .map_err(HttpError::Exchange)
    }

    /// Sends a JSON body and parses a JSON response; `None` sends an empty body.
    ///
    /// # Errors
    /// Same as [`Self::send`] and [`read_json`].
    pub async fn json<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let resp = self.send_json(method, addr, path, body, timeout).await?;
        read_json(resp, timeout).await
    }

    /// Sends a JSON body and returns the response head; `None` sends an empty body.
    ///
    /// # Errors
    /// Same as [`Self::send`].
    pub async fn send_json<Q: Serialize + Sync>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let bytes = match body {
            Some(value) => serde_json::to_vec(value).expect("wire types serialize"),
            None => Vec::new(),
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(bytes))
            .map_err(|e| HttpError::Body(e.to_string()))?;
        self.send(addr, req, timeout).await
    }

    /// Sends a `GET` request and parses a JSON response.
    ///
    /// # Errors
    /// Same as [`Self::json`].
    pub async fn get<R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        self.json(Method::GET, addr, path, None::<&()>, timeout)
            .await
    }
}

/// Reads and parses the JSON body of a response.
///
/// # Errors
/// Returns an error if the body does not arrive within `timeout`, the status is not a success or
/// the body can't be parsed as `R`.
pub async fn read_json<R: DeserializeOwned>(
    resp: Response<Incoming>,
    timeout: Duration,
) -> Result<R, HttpError> {
    let status = resp.status();
    let bytes = read_limited(resp.into_body(), MAX_RESPONSE_BYTES, timeout)
        .await
        .map_err(|e| match e {
            BodyError::TooLarge(_) => HttpError::Unreadable(e.to_string()),
            BodyError::TooSlow(_) | BodyError::Broken => HttpError::Body(e.to_string()),
        })?;
    if !status.is_success() {
        let body = String::from_utf8_lossy(&bytes);
        return Err(HttpError::Status {
            status,
            body: body.chars().take(MAX_ERROR_CHARS).collect(),
        });
    }
    serde_json::from_slice(&bytes).map_err(|e| HttpError::Unreadable(e.to_string()))
}
