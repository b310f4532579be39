//! HTTP client for model engines.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::{HttpClient, HttpError, read_limited};
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use super::error::EngineError;
use super::event_stream::EngineStream;
use super::wire::{
    CacheChanges, CacheListing, FencingToken, GoneReply, LendRequest, LoadReport, StartRequest,
    StreamList, TITLE_DISPLACED, TITLE_DUPLICATE, TITLE_FENCED, TITLE_NO_MEMORY,
    TITLE_UNKNOWN_STREAM,
};

/// Maximum size of an error response's body, in bytes.
const MAX_PROBLEM_BYTES: usize = 64 << 10;

/// Calls the HTTP interface of model engines.
#[derive(Clone)]
pub struct EngineClient<N> {
    http: HttpClient<N>,
    timeout: Duration,
}

impl<N: Network> EngineClient<N> {
    /// Creates a client; `timeout` limits the wait for each response and for each part of a stream.
    pub fn new(http: HttpClient<N>, timeout: Duration) -> Self {
        Self { http, timeout }
    }

    /// Starts a stream.
    ///
    /// # Errors
    /// Returns an error if the engine does not start it; [`EngineError::verdict`] tells whether it
    /// may have run.
    pub async fn start(
        &self,
        addr: SocketAddr,
        start: &StartRequest,
    ) -> Result<EngineStream, EngineError> {
        let req = json_request(Method::POST, "/v1/streams", start);
        self.open_stream(addr, req).await
    }

    /// Reads a running stream from token index `after`.
    ///
    /// # Errors
    /// Returns an error if the engine does not know the stream, or if another node reads it and
    /// `take_over` is false.
    pub async fn resume(
        &self,
        addr: SocketAddr,
        stream: StreamId,
        after: u64,
        node: &HostName,
        take_over: bool,
    ) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/streams/{stream}?after={after}&node={node}&take-over={take_over}");
        let req = Request::get(path)
            .body(Full::default())
            .map_err(|e| EngineError::Refused(e.to_string()))?;
        self.open_stream(addr, req).await
    }

    /// Reserves memory on an engine for a stream that runs on another engine.
    ///
    /// # Errors
    /// Returns an error if the engine does not reserve it.
    pub async fn lend(&self, addr: SocketAddr, lend: &LendRequest) -> Result<(), EngineError> {
        let req = json_request(Method::POST, "/v1/lends", lend);
        let resp = self.http.send(addr, req, self.timeout).await?;
        check_status(resp, self.timeout).await.map(|_| ())
    }

    /// Cancels a stream or lent memory; true once the engine holds nothing for it.
    ///
    /// # Errors
    /// Returns an error if the engine does not answer.
    pub async fn cancel(
        &self,
        addr: SocketAddr,
        stream: StreamId,
        fence: &FencingToken,
    ) -> Result<bool, HttpError> {
        let path = format!(
            "/v1/streams/{stream}?pool={}&epoch={}",
            fence.pool, fence.epoch
        );
        let gone: GoneReply = self
            .http
            .json(Method::DELETE, addr, &path, None::<&()>, self.timeout)
            .await?;
        Ok(gone.gone)
    }

    /// Lists the streams that an engine holds memory for.
    ///
    /// # Errors
    /// Returns an error if the engine does not answer.
    pub async fn streams(&self, addr: SocketAddr) -> Result<StreamList, HttpError> {
        self.http.get(addr, "/v1/streams", self.timeout).await
    }

    /// Reads the load of an engine.
    ///
    /// # Errors
    /// Returns an error if the engine does not answer.
    pub async fn load(&self, addr: SocketAddr) -> Result<LoadReport, HttpError> {
        self.http.get(addr, "/v1/load", self.timeout).await
    }

    /// Reads the changes of the prefix cache after a sequence number.
    ///
    /// # Errors
    /// Returns an error if the engine does not answer.
    pub async fn cache_changes(
        &self,
        addr: SocketAddr,
        after: u64,
    ) -> Result<CacheChanges, HttpError> {
        let path = format!("/v1/cache?after={after}");
        self.http.get(addr, &path, self.timeout).await
    }

    /// Lists all blocks of the prefix cache.
    ///
    /// # Errors
    /// Returns an error if the engine does not answer.
    pub async fn cache_listing(&self, addr: SocketAddr) -> Result<CacheListing, HttpError> {
        self.http.get(addr, "/v1/cache/listing", self.timeout).await
    }

    async fn open_stream(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<EngineStream, EngineError> {
        let resp = self.http.send(addr, req, self.timeout).await?;
        let resp = check_status(resp, self.timeout).await?;
        Ok(EngineStream::new(resp.into_body(), self.timeout))
    }
}

fn json_request<T: Serialize>(method: Method, path: &str, body: &T) -> Request<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).expect("wire types serialize");
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::from(bytes))
        .expect("constant paths are valid")
}

async fn check_status(
    resp: Response<Incoming>,
    timeout: Duration,
) -> Result<Response<Incoming>, EngineError> {
    if resp.status() == StatusCode::OK {
        return Ok(resp);
    }
    let status = resp.status();
    let bytes = read_limited(resp.into_body(), MAX_PROBLEM_BYTES, timeout)
        .await
        .map_err(|e| EngineError::Unknown(e.to_string()))?;
    let Ok(problem) = serde_json::from_slice::<Problem>(&bytes) else {
        return Err(EngineError::Unknown(format!("status {status}")));
    };
    Err(match problem.title.as_str() {
        TITLE_FENCED | TITLE_NO_MEMORY => EngineError::Refused(problem.title),
        TITLE_DUPLICATE => EngineError::Duplicate,
        TITLE_DISPLACED => EngineError::Displaced,
        TITLE_UNKNOWN_STREAM => EngineError::UnknownStream,
        _ if problem.verdict == Verdict::NotRun => EngineError::Refused(problem.detail),
        _ => EngineError::Unknown(problem.detail),
    })
}
