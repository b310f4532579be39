//! Input that can't be used.

use std::fmt;

/// An error of the operator's input; the process exits with 2.
#[derive(Debug)]
pub(crate) struct BadInput(pub(crate) String);

impl fmt::Display for BadInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadInput {}
