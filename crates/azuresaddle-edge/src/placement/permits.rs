//! Permits to send requests to plain targets that have a rate limit.

use std::time::Duration;

use azuresaddle_core::prelude::*;

use super::client::PlacementClient;
use crate::peer::{PermitReply, PermitRequest};

/// Longest wait for the owner's answer: many round trips, and a part of a plain request's time limit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a rate-limited target is not used if no owner answers.
const NO_OWNER_WAIT: Duration = Duration::from_millis(200);

impl<N: Network> PlacementClient<N> {
    /// Requests a permit to send a request from the owner, which counts the requests of all nodes.
    ///
    /// # Errors
    /// The time for which no request may be sent to the target.
    pub(crate) async fn permit(&self, req: PermitRequest) -> Result<(), Duration> {
        match self.request_permit(req).await {
            PermitReply::Granted => Ok(()),
            PermitReply::Denied { wait } => Err(wait),
            // While the owner changes, no node counts the requests of all nodes.
            PermitReply::NotOwner => Err(NO_OWNER_WAIT),
        }
    }

    async fn request_permit(&self, req: PermitRequest) -> PermitReply {
        if self.is_owner() {
            return self.local_owner().permit(&req);
        }
        let snapshot = self.snapshots().load();
        let Some(owner) = snapshot.node(snapshot.owner) else {
            return PermitReply::NotOwner;
        };
        let call = self
            .peers()
            .call(owner.peer_addr, PERMIT_TIMEOUT, async |client, cx| {
                client.permit(cx, req.clone()).await
            });
        call.await.unwrap_or(PermitReply::NotOwner)
    }
}
