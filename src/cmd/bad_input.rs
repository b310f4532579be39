//! Error type for invalid input.

use std::fmt;

/// The operator's input is invalid; the process exits with code 2.
#[derive(Debug)]
pub(crate) struct BadInput(pub(crate) String);

impl fmt::Display for BadInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadInput {}
