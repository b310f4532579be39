//! Serves the calls of other nodes.

use azuresaddle_core::burn::BurnCounts;
use azuresaddle_core::prelude::*;
use azuresaddle_rpc::serve_rpc;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::io::{AsyncRead, AsyncWrite};

use super::messages::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};
use super::service::Peer;
use crate::control::ControlHandle;

/// Accepts other nodes until the spawner is killed.
pub fn serve_peers<L>(listener: L, spawner: &Spawner, control: ControlHandle)
where
    L: Listener,
    L::Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let tasks = spawner.clone();
    serve_rpc(listener, spawner, move |channel| {
        let server = PeerServer {
            control: control.clone(),
        };
        let requests = tasks.clone();
        tasks.spawn(async move {
            let mut execute = std::pin::pin!(channel.execute(server.serve()));
            while let Some(request) = execute.next().await {
                requests.spawn(request);
            }
        });
    });
}

#[derive(Clone)]
struct PeerServer {
    control: ControlHandle,
}

impl Peer for PeerServer {
    async fn reserve(self, _: Context, req: ReserveRequest) -> ReserveReply {
        self.control.reserve(req).await
    }

    async fn report(self, _: Context, reports: Vec<Report>) {
        self.control.report(reports).await;
    }

    async fn take_over(self, _: Context, take_over: TakeOver) {
        self.control.take_over(take_over).await;
    }

    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> HeartbeatReply {
        self.control.heartbeat(heartbeat).await
    }

    async fn rules(self, _: Context) -> String {
        self.control.rules_json()
    }

    async fn burn(self, _: Context) -> BurnCounts {
        self.control.burn_counts()
    }
}
