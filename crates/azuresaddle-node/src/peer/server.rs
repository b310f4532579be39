//! Serves other nodes.

use azuresaddle_core::prelude::*;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use super::messages::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};
use super::service::Peer;
use crate::burn::BurnCounts;
use crate::control::ControlHandle;

/// Longest message between nodes, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 4 << 20;

/// Accepts other nodes until the spawner is killed.
pub fn serve_peers<L>(mut listener: L, spawner: Spawner, control: ControlHandle)
where
    L: Listener,
    L::Stream: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
{
    let tasks = spawner.clone();
    spawner.spawn(async move {
        while let Ok(stream) = listener.accept().await {
            serve_peer(stream, &tasks, control.clone());
        }
    });
}

fn serve_peer<S>(stream: S, tasks: &Spawner, control: ControlHandle)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = tokio_util::codec::Framed::new(stream, codec);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let requests = tasks.clone();
    tasks.spawn(async move {
        let server = PeerServer { control };
        let mut execute = std::pin::pin!(channel.execute(server.serve()));
        while let Some(request) = execute.next().await {
            requests.spawn(request);
        }
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
