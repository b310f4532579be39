//! Whether a failed request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that did not get its complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target started the request; sending it again is safe.
    NotRun,
    /// A target may have started the request; only an idempotent one may be sent again.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

impl Verdict {
    /// Whether a request with this verdict may be sent to a target again.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}
