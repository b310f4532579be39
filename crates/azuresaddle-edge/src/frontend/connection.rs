//! Serves one connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

use super::connection_activity::{Activity, ConnectionActivity, TrackedStream};
use super::guarded_body::GuardedBody;
use super::head_buffer::HeadBuffer;
use super::service::{Answer, CallerService};
use crate::flow::{MeteredStream, WriteProgress};
use crate::forward::MAX_READ_PAUSE;
use crate::shutdown::ShutdownStage;

/// Size of the read buffer in multiples of the head limit. A head beyond its limit is still read up to this size, so
/// that the node can answer that it is too long.
const READ_BUFFER_FACTOR: usize = 4;

/// Smallest read buffer that the HTTP library accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Answer if the head of a request does not arrive in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Longest wait for that answer to be written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a caller that does not read is checked, since its target may stop being read in the meantime.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How a connection ended.
enum ConnectionEnd {
    /// By the caller, or after a graceful close.
    Closed,
    HeadTimeout,
    SlowReader,
}

/// Serves one connection until either side closes it.
pub(super) async fn serve_connection<N, S>(stream: S, service: Arc<CallerService<N>>)
where
    N: Network,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let activity = ConnectionActivity::new();
    let mut stage_changes = service.shutdown().subscribe();
    let limits = service.limits();
    let handler = {
        let service = Arc::clone(&service);
        let activity = activity.clone();
        service_fn(move |req| {
            let service = Arc::clone(&service);
            let mut answering = activity.begin_answer();
            let activity = activity.clone();
            async move {
                let Answer {
                    mut response,
                    in_flight,
                    request,
                    keep_until,
                } = service.handle(req).await;
                activity.set_watch(response.body().watch(request, keep_until));
                if service.shutdown().stage() != ShutdownStage::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                answering.keep(in_flight);
                Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, answering)))
            }
        })
    };
    let progress = WriteProgress::default();
    let stream = MeteredStream::new(stream, progress.clone());
    let max_head_bytes = (limits.max_header_bytes * READ_BUFFER_FACTOR).max(MIN_READ_BUFFER_BYTES);
    let head = HeadBuffer::new(service.head_budget(), max_head_bytes);
    let io = TokioIo::new(TrackedStream::new(stream, activity.clone(), head));
    let mut conn = http1::Builder::new()
        .max_buf_size(max_head_bytes)
        .serve_connection(io, handler);
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            biased;
            // Errors mean that the caller disconnected or violated the protocol. The handler deals with its own errors.
            _ = &mut conn => break ConnectionEnd::Closed,
            timeout = wait_for_timeout(&activity, &service) => match timeout {
                // Nothing is being read or written that the library could wait for.
                Timeout::Idle if is_closing => break ConnectionEnd::Closed,
                Timeout::Idle => {
                    is_closing = true;
                    Pin::new(&mut conn).graceful_shutdown();
                }
                Timeout::Head => break ConnectionEnd::HeadTimeout,
            },
            () = wait_for_slow_reader(&progress, &activity) => break ConnectionEnd::SlowReader,
            Ok(()) = stage_changes.changed() => {
                if service.shutdown().stage() >= ShutdownStage::Refusing {
                    Pin::new(&mut conn).graceful_shutdown();
                }
            }
        }
    };
    match ended {
        ConnectionEnd::Closed => {}
        // An answer that is not written completely must not be followed by another one.
        ConnectionEnd::HeadTimeout if progress.blocked_since().is_some() => {}
        ConnectionEnd::HeadTimeout => {
            answer_head_timeout(conn.into_parts().io.into_inner()).await;
        }
        // Dropping the connection ends the relay, which frees the engine.
        ConnectionEnd::SlowReader => {
            drop(conn);
            let watch = activity.watch();
            service.on_slow_reader(watch.as_ref().and_then(|w| w.request.as_deref()));
        }
    }
}

/// Answers that the head did not arrive in time, and closes the connection.
async fn answer_head_timeout<S: AsyncWrite + Unpin>(mut stream: S) {
    let write = async {
        stream.write_all(HEAD_TIMEOUT_ANSWER).await?;
        stream.shutdown().await
    };
    // The connection is closed whether or not the write succeeds.
    let _ = tokio::time::timeout(WRITE_TIMEOUT, write).await;
}

/// Waits until the caller has read nothing of its answer for too long.
async fn wait_for_slow_reader(progress: &WriteProgress, activity: &ConnectionActivity) {
    loop {
        let blocked_since = progress.until_blocked().await;
        let due = match activity.watch() {
            Some(watch) => watch.disconnect_at(blocked_since),
            None => blocked_since + MAX_READ_PAUSE,
        };
        let now = Instant::now();
        if now >= due {
            return;
        }
        tokio::time::sleep_until(due.min(now + READ_CHECK_INTERVAL)).await;
    }
}

/// Which timeout of the connection was reached.
enum Timeout {
    Idle,
    Head,
}

/// Waits until the connection has been idle, or reading a head, for too long.
async fn wait_for_timeout<N: Network>(
    activity: &ConnectionActivity,
    service: &CallerService<N>,
) -> Timeout {
    loop {
        let limits = service.limits();
        let now = Instant::now();
        let next = match activity.activity() {
            Activity::Idle(since) if now >= since + limits.idle_timeout => return Timeout::Idle,
            Activity::Idle(since) => {
                // A head may begin to arrive right after this check; its timeout may then end first.
                (since + limits.idle_timeout).min(now + limits.header_timeout)
            }
            Activity::ReadingHead(since) if now >= since + limits.header_timeout => {
                return Timeout::Head;
            }
            Activity::ReadingHead(since) => since + limits.header_timeout,
            Activity::Answering | Activity::Writing => now + limits.idle_timeout,
        };
        tokio::time::sleep_until(next).await;
    }
}
