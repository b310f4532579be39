//! Reads message bodies into counted memory.

use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::Instant;

use super::{AccountBudget, HeldBytes, HeldFor, Permit};

/// Smallest buffer for a body of unknown length that arrives in several parts, in bytes.
const FIRST_BUFFER_BYTES: usize = 8 << 10;

/// What to do while the budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// Stop reading.
    Fail,
    /// Wait until bytes are returned.
    Wait,
}

/// Limits on reading one body.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Whom the body is meant for.
    pub held_for: HeldFor,
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Longest time without any bytes of it.
    pub max_pause: Duration,
    /// When to give up.
    pub end: Instant,
    /// What to do while the budget is used up.
    pub when_full: WhenFull,
}

/// Why a body was not read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReadError {
    /// It is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// It did not arrive in time, or paused for too long.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// It did not fit into the budget, or not in time.
    #[error("the byte budget is used up")]
    NoRoom,
    /// The connection broke.
    #[error("the body broke off: {0}")]
    Broken(String),
}

/// Reads a body into memory that is taken from a budget. A body whose length is known is not read before all of it fits.
///
/// # Errors
/// If the body exceeds a limit, does not fit into the budget, or the connection breaks.
pub async fn read_held<B>(
    body: B,
    budget: &AccountBudget,
    limits: &ReadLimits,
) -> Result<HeldBytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let mut body = pin!(body);
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut buffer = Buffer {
        bytes: BytesMut::new(),
        permit: budget.empty(limits.held_for),
        limits: *limits,
    };
    buffer.make_room(length).await?;
    loop {
        let frame_by = limits.end.min(Instant::now() + limits.max_pause);
        let data = match tokio::time::timeout_at(frame_by, body.frame()).await {
            Err(_) => return Err(ReadError::TooSlow),
            Ok(None) => return Ok(HeldBytes::new(buffer.bytes.freeze(), buffer.permit)),
            Ok(Some(Err(e))) => return Err(ReadError::Broken(e.to_string())),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                // Trailers are not forwarded.
                Err(_) => continue,
            },
        };
        buffer.make_room(data.len()).await?;
        buffer.bytes.extend_from_slice(&data);
    }
}

/// The part of a body that has been read.
struct Buffer {
    bytes: BytesMut,
    /// Covers the capacity of `bytes`.
    permit: Permit,
    limits: ReadLimits,
}

impl Buffer {
    /// Provides memory for `more` bytes.
    async fn make_room(&mut self, more: usize) -> Result<(), ReadError> {
        let max = self.limits.max_bytes;
        let needed = self.bytes.len().saturating_add(more);
        if needed > max {
            return Err(ReadError::TooLarge(max));
        }
        let capacity = self.bytes.capacity();
        if needed <= capacity {
            return Ok(());
        }
        // The first buffer has the stated length; a body of unknown length doubles it as it arrives.
        let wanted = match capacity {
            0 => needed,
            _ => needed.max(capacity * 2).max(FIRST_BUFFER_BYTES).min(max),
        };
        self.take((wanted - capacity) as u64).await?;
        let mut larger = BytesMut::with_capacity(wanted);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        Ok(())
    }

    async fn take(&mut self, bytes: u64) -> Result<(), ReadError> {
        if self.permit.try_grow(bytes) {
            return Ok(());
        }
        match self.limits.when_full {
            WhenFull::Fail => Err(ReadError::NoRoom),
            WhenFull::Wait => tokio::time::timeout_at(self.limits.end, self.permit.grow(bytes))
                .await
                .map_err(|_| ReadError::NoRoom),
        }
    }
}
