//! Async runtime for client commands.

use anyhow::Result;
use tokio::runtime::{Builder, Runtime};

/// Creates a single-threaded runtime for a command that only makes a few calls.
pub(crate) fn client_runtime() -> Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}
