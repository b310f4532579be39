//! Messages and frames of tunnels.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame, in bytes: the handshake, or one read from the target.
pub(super) const MAX_FRAME_BYTES: usize = 16 << 10;

/// Asks for a tunnel to a target.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct TunnelRequest {
    pub(super) target: HostName,
}

/// Answer to a [`TunnelRequest`]. If the tunnel is open, the target's bytes follow in frames and an empty frame when the
/// target has closed its side; bytes to the target are sent without frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum TunnelReply {
    /// The tunnel is open.
    Open,
    /// The target refused the connection.
    Refused,
    /// The target did not answer, or could not be reached for another reason.
    NoAnswer,
    /// This node provides no tunnel: it does not know the target, is cut off itself, is stopping or has too many.
    Unavailable,
}

impl TunnelReply {
    /// Value of the metric label `result`.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Refused => "refused",
            Self::NoAnswer => "no-answer",
            Self::Unavailable => "unavailable",
        }
    }
}

pub(super) type FramedStream<S> = Framed<S, LengthDelimitedCodec>;

pub(super) fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> FramedStream<S> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
