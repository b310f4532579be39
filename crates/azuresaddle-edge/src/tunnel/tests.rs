//! Tunnels over memory streams.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex,
};
use tokio::time::timeout;

use super::messages::{FramedStream, TunnelReply, TunnelRequest, framed};
use super::server::copy;
use super::{TunnelError, TunnelStream, open_tunnel};
use crate::control::tests::memory_network::memory_network_with_buffer;

const BUFFER_BYTES: usize = 1024;

/// Requests a tunnel and answers the request; returns both ends.
async fn handshake(
    reply: TunnelReply,
) -> (
    Result<TunnelStream<DuplexStream>, TunnelError>,
    FramedStream<DuplexStream>,
) {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (net, mut listener) = memory_network_with_buffer(addr, BUFFER_BYTES);
    let target = HostName::new("t1");
    let answer = async {
        let mut far = framed(listener.accept().await.unwrap());
        let request = far.next().await.unwrap().unwrap();
        let request: TunnelRequest = postcard::from_bytes(&request).unwrap();
        assert_eq!(request.target, HostName::new("t1"));
        let reply = postcard::to_stdvec(&reply).unwrap();
        far.send(Bytes::from(reply)).await.unwrap();
        far
    };
    tokio::join!(open_tunnel(&net, addr, &target), answer)
}

/// An open tunnel and the target's end of its connection.
async fn open() -> (TunnelStream<DuplexStream>, DuplexStream) {
    let (near, far) = handshake(TunnelReply::Open).await;
    let (to_target, target) = duplex(BUFFER_BYTES);
    tokio::spawn(async move {
        let _ = copy(far, to_target).await;
    });
    (near.unwrap(), target)
}

#[tokio::test]
async fn bytes_pass_both_ways() {
    let (mut near, mut target) = open().await;
    let request = vec![7; 10 * BUFFER_BYTES];
    let answer = vec![9; 100 * BUFFER_BYTES];
    let mut received = vec![0; request.len()];
    let (written, read) = tokio::join!(near.write_all(&request), target.read_exact(&mut received));
    written.unwrap();
    read.unwrap();
    assert_eq!(received, request);
    let mut received = vec![0; answer.len()];
    let (written, read) = tokio::join!(target.write_all(&answer), near.read_exact(&mut received));
    written.unwrap();
    read.unwrap();
    assert_eq!(received, answer);
}

/// Guards against an answer without a length that can't end.
#[tokio::test]
async fn the_end_of_the_targets_connection_is_passed_on() {
    let (mut near, mut target) = open().await;
    target.write_all(b"answer").await.unwrap();
    drop(target);
    let mut answer = Vec::new();
    near.read_to_end(&mut answer).await.unwrap();
    assert_eq!(answer, b"answer");
}

/// Guards against an answer without a length that looks complete although the node in between was killed.
#[tokio::test]
async fn a_broken_tunnel_is_not_the_end_of_an_answer() {
    let (near, mut far) = handshake(TunnelReply::Open).await;
    let mut near = near.unwrap();
    far.send(Bytes::from_static(b"half")).await.unwrap();
    drop(far);
    let mut answer = Vec::new();
    let error = near.read_to_end(&mut answer).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
    assert_eq!(answer, b"half");
}

/// Guards against targets that go on with requests whose callers have left.
#[tokio::test]
async fn the_connection_to_the_target_closes_with_the_tunnel() {
    let (near, mut target) = open().await;
    drop(near);
    let mut buf = [0];
    let read = timeout(Duration::from_secs(1), target.read(&mut buf)).await;
    assert_eq!(read.unwrap().unwrap(), 0);
}

/// Guards against the loss of an answer that comes before the target has read the whole request.
#[tokio::test]
async fn an_early_answer_is_delivered_while_the_request_is_sent() {
    let (mut near, mut target) = open().await;
    let sender = async {
        near.write_all(&vec![7; 3 * BUFFER_BYTES]).await.unwrap();
        let mut answer = Vec::new();
        near.read_to_end(&mut answer).await.unwrap();
        answer
    };
    let receiver = async {
        target.write_all(b"too large").await.unwrap();
        drop(target);
    };
    let (answer, ()) = tokio::join!(sender, receiver);
    assert_eq!(answer, b"too large");
}

/// A target's connection that is reset after some bytes. As with a socket, a write meets the reset, and then reads see the end.
struct ResetConnection {
    unread: &'static [u8],
    is_reset: bool,
    reader: Option<Waker>,
}

impl AsyncRead for ResetConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        buf.put_slice(std::mem::take(&mut self.unread));
        if buf.filled().is_empty() && !self.is_reset {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ResetConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_reset = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against an answer without a length that looks complete after a reset that the upload meets.
#[tokio::test]
async fn a_reset_that_the_upload_meets_is_not_the_end_of_an_answer() {
    let (near, far) = handshake(TunnelReply::Open).await;
    let mut near = near.unwrap();
    let target = ResetConnection {
        unread: b"half",
        is_reset: false,
        reader: None,
    };
    tokio::spawn(async move {
        let _ = copy(far, target).await;
    });
    let mut answer = vec![0; 4];
    near.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"half");
    near.write_all(b"request").await.unwrap();
    let error = near.read_to_end(&mut answer).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
}

#[tokio::test]
async fn a_refusal_of_the_target_is_told_apart_from_a_lost_path() {
    let (refused, _) = handshake(TunnelReply::Refused).await;
    assert!(matches!(refused, Err(TunnelError::Refused)));
    let (unavailable, _) = handshake(TunnelReply::NoAnswer).await;
    assert!(matches!(unavailable, Err(TunnelError::Unavailable)));
}
