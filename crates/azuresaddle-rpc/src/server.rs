//! Accepts connections of other nodes.

use azuresaddle_core::net::accept;
use azuresaddle_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::transport::transport;

/// One accepted connection of another node.
pub type ServerChannel<S, Req, Resp> = BaseChannel<
    Req,
    Resp,
    Transport<S, ClientMessage<Req>, Response<Resp>, Bincode<ClientMessage<Req>, Response<Resp>>>,
>;

/// Accepts connections of other nodes until the spawner is killed; `on_channel` serves each.
pub fn serve_rpc<L, Req, Resp, F>(mut listener: L, spawner: &Spawner, on_channel: F)
where
    L: Listener,
    L::Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(ServerChannel<L::Stream, Req, Resp>) + Send + 'static,
    ServerChannel<L::Stream, Req, Resp>: Channel,
{
    spawner.spawn_essential("listener for nodes", async move {
        loop {
            let stream = accept(&mut listener).await;
            on_channel(BaseChannel::with_defaults(transport(stream)));
        }
    });
}
