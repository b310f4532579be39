//! A connection to a target, direct or through another node.

use tokio_util::either::Either;

use crate::tunnel::TunnelStream;

/// A new connection to a target.
pub(crate) struct TargetStream<S> {
    pub(crate) stream: Either<S, TunnelStream<S>>,
    /// Incarnation of the node that provides the tunnel; `None` if the connection is direct.
    pub(crate) peer: Option<u64>,
}

impl<S> TargetStream<S> {
    pub(crate) fn direct(stream: S) -> Self {
        Self {
            stream: Either::Left(stream),
            peer: None,
        }
    }

    pub(crate) fn tunnel(stream: TunnelStream<S>, peer: u64) -> Self {
        Self {
            stream: Either::Right(stream),
            peer: Some(peer),
        }
    }
}
