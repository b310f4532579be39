//! Checks the heads of responses.

use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use thiserror::Error;

/// Highest status that has a class.
const MAX_STATUS: u16 = 599;

/// Why the head of a response does not tell what the response is, or where its body ends.
///
/// The library reads such responses as far as RFC 9112 lets a client do so: up to the end of the connection if the last
/// transfer coding is unknown, for example. They can't be passed on, since their next recipient would take what was read
/// for the body that the server meant.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidHead {
    /// The status has no class, so it says neither success nor failure (RFC 9110, section 15).
    #[error("status {0} has no class")]
    Status(StatusCode),
    /// The protocol of the connection changes, though no request asks for that.
    #[error("unexpected upgrade")]
    Upgrade,
    /// The transfer coding is not `chunked` alone.
    #[error("unknown transfer coding")]
    TransferCoding,
    /// The length is not a number, or there are different ones.
    #[error("invalid length")]
    Length,
    /// There are a transfer coding and a length (RFC 9112, section 6.3).
    #[error("both a transfer coding and a length")]
    CodingAndLength,
    /// The status allows no body, and the head states one.
    #[error("body in a response with status {0}")]
    UnexpectedBody(StatusCode),
}

/// Checks that the head of a response tells what the response is, and where its body ends.
///
/// # Errors
/// If it does not.
pub(super) fn check_head<B>(response: &Response<B>) -> Result<(), InvalidHead> {
    let (status, map) = (response.status(), response.headers());
    if status.is_informational() {
        // The library reads the other interim responses itself.
        return Err(InvalidHead::Upgrade);
    }
    if status.as_u16() > MAX_STATUS {
        return Err(InvalidHead::Status(status));
    }
    let is_coded = map.contains_key(TRANSFER_ENCODING);
    if is_coded && !is_chunked(map) {
        return Err(InvalidHead::TransferCoding);
    }
    let length = length(map)?;
    if is_coded && length.is_some() {
        return Err(InvalidHead::CodingAndLength);
    }
    let has_body = is_coded || length.is_some_and(|length| length > 0);
    if status == StatusCode::NO_CONTENT && has_body {
        return Err(InvalidHead::UnexpectedBody(status));
    }
    Ok(())
}

/// Length of the body in bytes, if the head states one. It may be repeated (RFC 9112, section 6.3).
fn length(map: &HeaderMap) -> Result<Option<u64>, InvalidHead> {
    let mut length = None;
    for value in map.get_all(CONTENT_LENGTH) {
        let value = value.to_str().map_err(|_| InvalidHead::Length)?;
        for part in value.split(',') {
            let part = parse_length(part.trim_matches([' ', '\t'])).ok_or(InvalidHead::Length)?;
            if length.replace(part).is_some_and(|other| other != part) {
                return Err(InvalidHead::Length);
            }
        }
    }
    Ok(length)
}

/// Parses a length, which has neither a sign nor blanks.
fn parse_length(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

/// Whether `chunked` is the only transfer coding, stated once and without parameters.
fn is_chunked(map: &HeaderMap) -> bool {
    let mut values = map.get_all(TRANSFER_ENCODING).iter();
    let is_plain = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    values.next().is_some_and(is_plain) && values.next().is_none()
}
