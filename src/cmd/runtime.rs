//! Runtimes of the commands.

use anyhow::Result;
use tokio::runtime::{Builder, Runtime};

/// A small runtime for a command that makes a few calls.
pub(crate) fn client_runtime() -> Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}
