//! Stages of a graceful shutdown.

use std::sync::atomic::{AtomicU8, Ordering};

use tokio::sync::watch;

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum ShutdownStage {
    /// The node is not stopping.
    Serving = 0,
    /// Connections are closed after their answers. New requests are still accepted, since callers use the addresses that
    /// they looked up for a while.
    Closing = 1,
    /// New requests are refused without being run.
    Refusing = 2,
}

/// The stage of the shutdown, shared by all connections.
#[derive(Debug)]
pub(crate) struct Shutdown {
    stage: AtomicU8,
    changed: watch::Sender<()>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            stage: AtomicU8::new(ShutdownStage::Serving as u8),
            changed: watch::Sender::new(()),
        }
    }
}

impl Shutdown {
    /// Advances to the next stage.
    pub(crate) fn advance(&self) {
        let next = (self.stage.load(Ordering::Relaxed) + 1).min(ShutdownStage::Refusing as u8);
        self.stage.store(next, Ordering::Relaxed);
        self.changed.send_replace(());
    }

    pub(crate) fn stage(&self) -> ShutdownStage {
        match self.stage.load(Ordering::Relaxed) {
            0 => ShutdownStage::Serving,
            1 => ShutdownStage::Closing,
            _ => ShutdownStage::Refusing,
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
