//! HTTP message bodies, and limits on reading them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use std::convert::Infallible;
use thiserror::Error;

/// A response body, complete or streamed.
pub type Body = BoxBody<Bytes, Infallible>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The connection broke.
    #[error("the body broke off")]
    Broken,
}

/// Makes a body from bytes that are already complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
/// Returns an error if the body exceeds either limit or the connection breaks.
pub async fn read_limited<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, read).await {
        Err(_) => Err(BodyError::TooSlow(timeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
