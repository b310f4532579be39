//! Framing and encoding of RPC messages.

use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a message, in bytes: four times the largest value in the store.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes messages with bincode on a byte stream.
pub(crate) fn transport<S, Item, SinkItem>(
    stream: S,
) -> Transport<S, Item, SinkItem, Bincode<Item, SinkItem>>
where
    S: AsyncRead + AsyncWrite,
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    tarpc::serde_transport::new(Framed::new(stream, codec), Bincode::default())
}
