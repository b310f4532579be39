//! Sends requests on one connection.

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};

use super::response_head::{InvalidHead, check_head};
use crate::verdict::Verdict;

/// Why a request got no valid response head.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection was closed before the request was written to it.
    #[error("{0}")]
    NotSent(#[source] hyper::Error),
    /// The connection broke, or what arrived was no response.
    #[error("{0}")]
    Broken(#[source] hyper::Error),
    /// The head of the response is not valid.
    #[error("invalid response head: {0}")]
    InvalidHead(#[from] InvalidHead),
}

impl SendError {
    /// Whether the server may have executed the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) => Verdict::NotRun,
            Self::Broken(_) | Self::InvalidHead(_) => Verdict::MayHaveRun,
        }
    }
}

/// Sends requests on one connection, and checks the heads of the responses.
#[derive(Debug)]
pub struct RequestSender<B>(SendRequest<B>);

impl<B: Body + 'static> RequestSender<B> {
    /// Opens an HTTP connection over a stream, with the options of `builder`. The connection does nothing until it is polled.
    ///
    /// # Errors
    /// If the stream breaks.
    #[expect(
        clippy::disallowed_methods,
        reason = "the sender checks the heads of all responses"
    )]
    pub async fn open<S>(
        builder: &http1::Builder,
        stream: S,
    ) -> hyper::Result<(Self, Connection<TokioIo<S>, B>)>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (tx, conn) = builder.handshake(TokioIo::new(stream)).await?;
        Ok((Self(tx), conn))
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// If there is no valid one.
    pub async fn send(&mut self, req: Request<B>) -> Result<Response<Incoming>, SendError> {
        let sent = self.0.try_send_request(req).await;
        let response = sent.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::NotSent(e.into_error()),
            None => SendError::Broken(e.into_error()),
        })?;
        check_head(&response)?;
        Ok(response)
    }
}
