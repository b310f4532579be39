//! Request headers of the callers' interface.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use hyper::HeaderMap;

/// Name of the client account; required.
pub const HEADER_ACCOUNT: &str = "x-client-account";
/// Maximum time that the caller waits, in milliseconds; limited by the matching rule's deadline.
pub const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Kind of the request, which rules can match.
pub const HEADER_KIND: &str = "x-request-kind";
/// Whether the request may run more than once: `true` or `false`.
pub const HEADER_IDEMPOTENT: &str = "x-idempotent";
/// Idempotency key; at most one request of the account runs under it.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Resume token from the start event of an answer, which lets the caller continue that answer.
pub const HEADER_RESUME_TOKEN: &str = "x-resume-token";

/// Maximum length of a header value in bytes; resume tokens are exempt.
const MAX_VALUE_BYTES: usize = 256;

/// Maximum deadline that a caller may request: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Validated headers of a request.
#[derive(Clone, Debug)]
pub(super) struct CallerHeaders {
    pub(super) account: ClientAccount,
    pub(super) kind: String,
    pub(super) deadline: Option<Duration>,
    pub(super) idempotent: Option<bool>,
    pub(super) idempotency_key: Option<String>,
}

impl CallerHeaders {
    pub(super) fn parse(headers: &HeaderMap) -> Result<Self, Problem> {
        let account = header_text(headers, HEADER_ACCOUNT)?
            .filter(|value| !value.is_empty())
            .ok_or_else(|| {
                Problem::bad_request(format!("the header {HEADER_ACCOUNT} is missing"))
            })?;
        let idempotent = header_text(headers, HEADER_IDEMPOTENT)?
            .map(parse_bool)
            .transpose()?;
        let deadline = header_text(headers, HEADER_DEADLINE_MS)?
            .map(parse_deadline)
            .transpose()?;
        Ok(Self {
            account: ClientAccount::new(account),
            kind: header_text(headers, HEADER_KIND)?
                .unwrap_or_default()
                .to_owned(),
            deadline,
            idempotent,
            idempotency_key: header_text(headers, HEADER_IDEMPOTENCY_KEY)?.map(str::to_owned),
        })
    }
}

/// Returns the value of a header, or `None` if it is absent; fails if the value is not ASCII text
/// or is too long.
pub(super) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_| Problem::bad_request(format!("the header {name} is not ASCII text")))?;
    if value.len() > MAX_VALUE_BYTES && name != HEADER_RESUME_TOKEN {
        let detail = format!("the header {name} is longer than {MAX_VALUE_BYTES} bytes");
        return Err(Problem::bad_request(detail));
    }
    Ok(Some(value))
}

fn parse_bool(value: &str) -> Result<bool, Problem> {
    value
        .parse()
        .map_err(|_| Problem::bad_request(format!("{HEADER_IDEMPOTENT} must be true or false")))
}

fn parse_deadline(value: &str) -> Result<Duration, Problem> {
    let ms = value
        .parse()
        .ok()
        .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    ms.map(Duration::from_millis).ok_or_else(|| {
        let detail = format!("{HEADER_DEADLINE_MS} must be a number from 1 to {MAX_DEADLINE_MS}");
        Problem::bad_request(detail)
    })
}
