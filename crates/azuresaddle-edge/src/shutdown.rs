//! Stages of a graceful shutdown.

use tokio::sync::watch;

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// The node is not stopping.
    Serving,
    /// Connections are closed after their answers. New requests are still accepted, since callers use the addresses that
    /// they looked up for a while.
    Closing,
    /// Requests that were not sent to a target are refused, new ones and those that wait for a target.
    Refusing,
    /// The process ends in a moment: requests whose answer has not begun get a final answer.
    Ending,
}

/// The stage of the shutdown, shared by all requests and connections.
#[derive(Debug)]
pub(crate) struct Shutdown(watch::Sender<ShutdownStage>);

impl Default for Shutdown {
    fn default() -> Self {
        Self(watch::Sender::new(ShutdownStage::Serving))
    }
}

impl Shutdown {
    /// Enters a stage.
    pub(crate) fn enter(&self, stage: ShutdownStage) {
        self.0.send_replace(stage);
    }

    pub(crate) fn stage(&self) -> ShutdownStage {
        *self.0.borrow()
    }

    /// Waits until a stage is reached.
    pub(crate) async fn until(&self, stage: ShutdownStage) {
        // The channel stays open, since `self` has its sender.
        let _ = self.0.subscribe().wait_for(|s| *s >= stage).await;
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<ShutdownStage> {
        self.0.subscribe()
    }
}
