//! Body of failure responses of the HTTP interface.

use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// What went wrong with a request, as JSON in the body of a failure response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// HTTP status code.
    pub status: u16,
    /// Short name of the failure, stable across releases.
    pub title: String,
    /// One sentence that says what was wrong.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay before a retry, in milliseconds; absent if a retry is useless.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A failure before the request was sent to any target.
    pub fn not_run(status: StatusCode, title: &str, detail: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            title: title.to_owned(),
            detail: detail.into(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        }
    }

    /// Rejection of a request that the caller has to correct (status 400).
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad-request", detail)
    }

    /// Refusal under overload or failure, with the delay before a retry (status 503).
    pub fn unavailable(title: &str, detail: impl Into<String>, retry_after: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, title, detail).retry_after(retry_after)
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Replaces the verdict.
    pub fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// The HTTP status; an invalid code becomes 500.
    pub fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}
