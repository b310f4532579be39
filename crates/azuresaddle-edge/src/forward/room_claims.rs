//! Frees memory for one of several answers to the same request.

use tokio::sync::watch;

/// Lets an answer for which the byte budget has no room use the memory of the other answers to the same request.
///
/// Otherwise a partial answer of a target that has become silent could keep a complete one from being read.
#[derive(Default)]
pub(super) struct RoomClaims(watch::Sender<()>);

impl RoomClaims {
    /// Makes the other sends of the request give up their memory.
    pub(super) fn claim(&self) {
        self.0.send_replace(());
    }

    /// Waits for a claim. Claims made before this call don't count.
    pub(super) fn claimed(&self) -> impl Future<Output = ()> + use<> {
        let mut claims = self.0.subscribe();
        async move {
            // Fails if the request has ended, which drops this future as well.
            let _ = claims.changed().await;
        }
    }
}
