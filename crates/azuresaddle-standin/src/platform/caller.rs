//! A caller that keeps its connection open and verifies the answers.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::deployment::TargetSignals;
use azuresaddle_platform::{decode_signals, headers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{AUTHORIZATION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::engine::event_text;
use super::plain::plain_body;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the attempt.
    pub attempt: String,
    /// Path.
    pub path: String,
    /// Host of the route.
    pub host: String,
    /// API key of the client account.
    pub key: String,
    /// Numbers of prompt and answer tokens; `None` for a plain request.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt, as the caller states them; empty to state none.
    pub prompt_parts: String,
    /// Body of the request.
    pub body: Bytes,
    /// Time for which the caller waits for the complete answer; also sent as the time left.
    pub timeout: Duration,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Signature of the target, if there is one.
    pub signature: Option<String>,
    /// Body.
    pub body: String,
    /// Whether the answer has a `Retry-After` header.
    pub has_retry_after: bool,
    /// Signals of the target that the node passed on.
    pub signals: TargetSignals,
}

/// A request failed without a complete answer, or with a wrong one.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CallerError {
    /// No connection could be opened.
    #[error("connection failed")]
    NoConnection,
    /// The connection ended before the answer was complete.
    #[error("connection closed before the answer was complete")]
    BrokenOff,
    /// No complete answer before the timeout.
    #[error("timeout before the answer was complete")]
    Timeout,
    /// The caller left a stream because no event arrived within its event timeout.
    #[error("no event for longer than the caller waits for one")]
    Left {
        /// Whether an event had arrived before.
        has_begun: bool,
    },
    /// The answer does not belong to the request or is incomplete.
    #[error("wrong answer: {0}")]
    WrongAnswer(String),
}

/// A caller with one connection, which it reopens when it breaks.
#[derive(Default)]
pub struct Caller {
    connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
    /// Time without an event after which the caller leaves a stream; `None` to wait until the timeout.
    event_timeout: Option<Duration>,
}

impl Caller {
    /// Makes a caller that leaves a stream after a time without an event.
    pub fn with_event_timeout(event_timeout: Duration) -> Self {
        Self {
            event_timeout: Some(event_timeout),
            ..Self::default()
        }
    }

    /// Sends a request to a node and verifies the answer.
    ///
    /// # Errors
    /// Returns an error if there is no complete answer, or if a successful one belongs to another request or
    /// lacks a part.
    pub async fn ask(
        &mut self,
        node: SocketAddr,
        request: &CallerRequest,
    ) -> Result<Answer, CallerError> {
        let result = tokio::time::timeout(request.timeout, self.exchange(node, request)).await;
        let result = result.unwrap_or(Err(CallerError::Timeout));
        if result.is_err() {
            self.connection = None;
        }
        let answer = result?;
        check(request, &answer)?;
        Ok(answer)
    }

    async fn exchange(
        &mut self,
        node: SocketAddr,
        request: &CallerRequest,
    ) -> Result<Answer, CallerError> {
        let event_timeout = self.event_timeout.filter(|_| request.tokens.is_some());
        let tx = self.connect(node).await?;
        let mut last_event = Instant::now();
        let response = tx.send_request(http_request(request));
        let response = wait_for(response, last_event, event_timeout).await;
        let response = response.ok_or(CallerError::Left { has_begun: false })?;
        let response = response.map_err(|_| CallerError::BrokenOff)?;
        let (parts, mut frames) = response.into_parts();
        let mut body = Vec::new();
        loop {
            let next = wait_for(frames.frame(), last_event, event_timeout).await;
            let has_begun = !body.is_empty();
            let Some(frame) = next.ok_or(CallerError::Left { has_begun })? else {
                break;
            };
            let frame = frame.map_err(|_| CallerError::BrokenOff)?;
            if let Some(data) = frame.data_ref() {
                last_event = Instant::now();
                body.extend_from_slice(data);
            }
        }
        let signature = parts.headers.get(headers::SIGNATURE);
        Ok(Answer {
            status: parts.status,
            signature: signature.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: String::from_utf8_lossy(&body).into_owned(),
            has_retry_after: parts.headers.contains_key(RETRY_AFTER),
            signals: decode_signals(&parts.headers).signals,
        })
    }

    #[expect(
        clippy::disallowed_methods,
        reason = "tests see answers as the node sends them"
    )]
    async fn connect(
        &mut self,
        node: SocketAddr,
    ) -> Result<&mut SendRequest<Full<Bytes>>, CallerError> {
        let is_usable = match &mut self.connection {
            Some((addr, tx)) => *addr == node && tx.ready().await.is_ok(),
            None => false,
        };
        if !is_usable {
            let stream = TcpStream::connect(node).await;
            let stream = stream.map_err(|_| CallerError::NoConnection)?;
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (tx, conn) = handshake.map_err(|_| CallerError::NoConnection)?;
            tokio::spawn(async move {
                // The sender notices a broken connection.
                let _ = conn.await;
            });
            self.connection = Some((node, tx));
        }
        let (_, tx) = self.connection.as_mut().expect("set above");
        Ok(tx)
    }
}

/// Waits for `next` until `event_timeout` after the last event at most; `None` if that has passed.
async fn wait_for<T>(
    next: impl Future<Output = T>,
    last_event: Instant,
    event_timeout: Option<Duration>,
) -> Option<T> {
    match event_timeout {
        Some(event_timeout) => timeout_at(last_event + event_timeout, next).await.ok(),
        None => Some(next.await),
    }
}

fn http_request(request: &CallerRequest) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = request.path.parse().expect("paths of tests are valid");
    let map = req.headers_mut();
    let text = |value: String| HeaderValue::try_from(value).expect("values of tests are ASCII");
    map.insert(HOST, text(request.host.clone()));
    map.insert(AUTHORIZATION, text(format!("Token {}", request.key)));
    map.insert(headers::ATTEMPT_ID, text(request.attempt.clone()));
    let ms = request.timeout.as_millis();
    map.insert(headers::TIME_LEFT_MS, text(ms.to_string()));
    if let Some((prompt, answer)) = request.tokens {
        map.insert(headers::TOKEN_COUNTS, text(format!("{prompt},{answer}")));
    }
    if !request.prompt_parts.is_empty() {
        map.insert(headers::PROMPT_PARTS, text(request.prompt_parts.clone()));
    }
    req
}

/// Checks that a successful answer is complete and belongs to the request.
fn check(request: &CallerRequest, answer: &Answer) -> Result<(), CallerError> {
    if !answer.status.is_success() {
        return Ok(());
    }
    let signature = answer.signature.as_deref().unwrap_or("");
    if !signature.ends_with(&request.attempt) {
        return Err(CallerError::WrongAnswer(format!("signature {signature:?}")));
    }
    let expected = match request.tokens {
        None => plain_body(&request.attempt),
        Some((_, answer)) => (1..=answer.div_ceil(STEPS_PER_EVENT))
            .map(event_text)
            .collect(),
    };
    if answer.body != expected {
        let body: String = answer.body.chars().take(300).collect();
        return Err(CallerError::WrongAnswer(format!("body {body:?}")));
    }
    Ok(())
}

/// Tokens per event; equals `stride` in the stand-in configuration.
pub(super) const STEPS_PER_EVENT: u64 = 46;
