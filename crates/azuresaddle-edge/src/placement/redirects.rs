//! Requests that the owner redirects to another node.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::PlacementId;

use super::client::PlacementClient;
use super::place_request::PlaceRequest;
use crate::peer::PlaceReply;

/// Time without a decision after which the node that redirected a request is asked again: many round trips, and longer
/// than a new owner takes to begin to place streams. Doubles with each check.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(50);

impl<N: Network> PlacementClient<N> {
    /// Waits for a decision of the node `named`, which the node `redirector` believes to be the owner.
    ///
    /// One of the two knows an earlier owner, which may have stopped, and no change of owner at this node tells which.
    /// So `redirector` is asked again while `named` does not decide, and the first decision of either counts. The other
    /// call is dropped, which withdraws its request.
    pub(super) async fn follow_redirect(
        &self,
        redirector: SocketAddr,
        named: SocketAddr,
        id: PlacementId,
        req: &PlaceRequest,
    ) -> Option<PlaceReply> {
        let mut check_delay = FIRST_CHECK_DELAY;
        let mut peer = named;
        loop {
            let mut call = std::pin::pin!(self.request_from_peer(peer, id, req, true));
            peer = loop {
                let check = async {
                    tokio::time::sleep(check_delay).await;
                    self.request_from_peer(redirector, id, req, false).await
                };
                let reply = tokio::select! {
                    biased;
                    reply = &mut call => return reply,
                    reply = check => reply,
                };
                if check_delay == FIRST_CHECK_DELAY {
                    tracing::info!(
                        part = "placement",
                        %redirector,
                        named = %peer,
                        redirects = matches!(reply, Some(PlaceReply::Redirect { .. })),
                        "no decision after a redirect; asked the redirecting node again"
                    );
                }
                check_delay *= 2;
                match reply {
                    Some(PlaceReply::Redirect { peer: again }) if again != peer => break again,
                    // The redirecting node may have stopped meanwhile.
                    Some(PlaceReply::Redirect { .. } | PlaceReply::NoDecision) | None => {}
                    Some(reply) => return Some(reply),
                }
            };
        }
    }
}
