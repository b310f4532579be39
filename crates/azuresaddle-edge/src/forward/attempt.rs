//! One send of a request to one target.

use std::time::Duration;

use azuresaddle_core::bounded_time::MAX_DURATION;
use azuresaddle_core::byte_budget::{HeldBytes, ReadError};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::http::SendError;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::forwarder::Forwarder;
use super::interim_answers::InterimAnswers;
use crate::flow::WriteProgress;
use crate::targets::{ConnectError, Connection};

/// Longest time for which a target may take no bytes of a request before it counts as stalled. A sound target may pause for
/// more than a second.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a target that takes no bytes gets no further requests.
const STALLED_BACK_OFF: Duration = Duration::from_secs(1);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a send did not produce an answer that can be relayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The request never left this node.
    NotSent(String),
    /// The target neither accepted nor refused a connection in time, so the request was not sent.
    ConnectTimeout,
    /// Neither this node nor the nodes that it asked reached the target, so the request was not sent.
    NoPath,
    /// The target is in back-off, so the request was not sent.
    InBackOff,
    /// The node stops, so the request was not sent.
    Stopping,
    /// As many targets as the route allows already have the request, so it was not sent.
    Superfluous,
    /// The target answered that it did not run the request.
    Declined {
        status: StatusCode,
        /// Name or address of the target at fault, if it is not the receiver.
        at_fault: Option<String>,
    },
    /// A different server now has the address. It did not run the request.
    WrongTarget,
    /// The connection failed or the answer was invalid. The request may have run.
    Broken(String),
    /// The target did not answer within the timeout. The request may have run.
    TimedOut,
    /// The target was silent, and another one has answered first. The request may have run.
    Overtaken,
    /// The target stopped taking the bytes of the request. Either it has taken none, so the request did not run, or the memory
    /// of the bytes is needed for other requests.
    Stalled { was_taken: bool },
    /// The node had no memory left for the answer until the timeout. The request may have run.
    NoRoom,
}

impl SendFailure {
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_)
            | Self::ConnectTimeout
            | Self::NoPath
            | Self::InBackOff
            | Self::Stopping
            | Self::Superfluous
            | Self::Declined { .. }
            | Self::WrongTarget
            | Self::Stalled { was_taken: false } => Verdict::NotRun,
            Self::Broken(_)
            | Self::TimedOut
            | Self::Overtaken
            | Self::Stalled { was_taken: true }
            | Self::NoRoom => Verdict::MayHaveRun,
        }
    }

    /// Value of the metric label `result` for this failure.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::ConnectTimeout => "not-sent",
            Self::NoPath => "no-path",
            Self::InBackOff => "held-back",
            Self::Stopping => "stopping",
            Self::Superfluous => "superfluous",
            Self::Declined { .. } => "declined",
            Self::WrongTarget => "wrong-target",
            Self::Broken(_) => "broken",
            Self::TimedOut | Self::Overtaken => "silent",
            Self::Stalled { .. } => "stalled",
            Self::NoRoom => "no-room",
        }
    }

    /// Whether the request was written to a connection to the target.
    pub(super) fn reached_target(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_)
                | Self::ConnectTimeout
                | Self::NoPath
                | Self::InBackOff
                | Self::Stopping
                | Self::Superfluous
                | Self::Stalled { was_taken: false }
        )
    }
}

impl From<ConnectError> for SendFailure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::NoPath => Self::NoPath,
            ConnectError::Timeout => Self::ConnectTimeout,
            _ => Self::NotSent(error.to_string()),
        }
    }
}

impl From<SendError> for SendFailure {
    fn from(error: SendError) -> Self {
        match error.verdict() {
            Verdict::NotRun => Self::NotSent(error.to_string()),
            Verdict::MayHaveRun | Verdict::Ran => Self::Broken(error.to_string()),
        }
    }
}

impl From<ReadError> for SendFailure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooSlow => Self::TimedOut,
            ReadError::NoRoom => Self::NoRoom,
            ReadError::TooLarge(_) | ReadError::Broken(_) => Self::Broken(error.to_string()),
        }
    }
}

impl std::fmt::Display for SendFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::ConnectTimeout => write!(f, "not sent: {}", ConnectError::Timeout),
            Self::NoPath => f.write_str("not sent: no path to the target"),
            Self::InBackOff => f.write_str("not sent: the target is in back-off"),
            Self::Stopping => f.write_str("not sent: the node is stopping"),
            Self::Superfluous => f.write_str("not sent: enough targets have the request"),
            Self::Declined {
                status,
                at_fault: None,
            } => write!(f, "declined with {status}"),
            Self::Declined {
                status,
                at_fault: Some(target),
            } => write!(f, "declined with {status} because of {target}"),
            Self::WrongTarget => f.write_str("another server has the target's address"),
            Self::Broken(reason) => write!(f, "broken: {reason}"),
            Self::TimedOut | Self::Overtaken => f.write_str("no answer in time"),
            Self::Stalled { was_taken: true } => {
                f.write_str("the target stopped taking the request")
            }
            Self::Stalled { was_taken: false } => {
                f.write_str("not sent: the target takes no bytes")
            }
            Self::NoRoom => f.write_str("no memory left for the answer"),
        }
    }
}

/// Sends a request on a connection and waits for the head of the answer, at most for `timeout`.
///
/// # Errors
/// If there is no answer that can be relayed.
pub(super) async fn send<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    connection: &mut Connection,
    mut req: Request<Full<HeldBytes>>,
    attempt_id: &hyper::header::HeaderValue,
    timeout: Duration,
) -> Result<Response<Incoming>, SendFailure> {
    // A back-off may have been received on another request while this one waited for a connection.
    if cx.health.back_offs().until(&target.id).is_some() {
        return Err(SendFailure::InBackOff);
    }
    let sent_at = Instant::now();
    let progress = connection.progress().clone();
    let taken_before = progress.written();
    let interim = InterimAnswers::count(&mut req);
    let sending = connection.sender().send(req);
    let sent = tokio::select! {
        biased;
        sent = tokio::time::timeout(timeout, sending) => sent,
        failure = interim.too_many() => return Err(failure),
        failure = stall_failure(cx, target, &progress, taken_before) => return Err(failure),
    };
    let response = match sent {
        Err(_) => return Err(SendFailure::TimedOut),
        Ok(Err(e)) => return Err(e.into()),
        Ok(Ok(response)) => response,
    };
    let checked = check_answer(&response, attempt_id);
    // An answer from another server, or to another request, has no valid signals for this target.
    if matches!(checked, Ok(()) | Err(SendFailure::Declined { .. })) {
        let status = response.status();
        let is_served = status.is_success();
        cx.record_signals(target, sent_at, status, response.headers(), is_served);
    }
    checked.map(|()| response)
}

/// Waits until a stalled target gives a reason to end its request, and returns the failure.
///
/// If the target has taken no bytes, the request ends at once, since it did not run there. Otherwise it ends when its memory is
/// needed for other requests.
async fn stall_failure<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    progress: &WriteProgress,
    taken_before: u64,
) -> SendFailure {
    progress.until_stalled(MAX_WRITE_PAUSE).await;
    let was_taken = !progress.close_if_written(taken_before);
    on_stalled(cx, target, was_taken);
    if !was_taken {
        return SendFailure::Stalled { was_taken };
    }
    loop {
        cx.budget().until_refused().await;
        let since = progress.blocked_since();
        if since.is_some_and(|since| since.elapsed() >= MAX_WRITE_PAUSE) {
            return SendFailure::Stalled { was_taken };
        }
    }
}

/// Records a target that takes no bytes of a request, and keeps further requests from it for a while.
fn on_stalled<N: Network>(cx: &Forwarder<N>, target: &TargetEntry, was_taken: bool) {
    tracing::warn!(
        part = "forward",
        target = %target.id,
        was_taken,
        pause_ms = MAX_WRITE_PAUSE.as_millis() as u64,
        "the target takes no bytes of a request"
    );
    cx.metrics.on_slow_reader("target");
    cx.connections.drop_idle(&target.id);
    cx.health.back_offs().start(&target.id, STALLED_BACK_OFF);
}

fn check_answer(
    response: &Response<Incoming>,
    attempt_id: &hyper::header::HeaderValue,
) -> Result<(), SendFailure> {
    let map = response.headers();
    // A late or duplicate answer to another request may arrive first.
    if map
        .get(&headers::ATTEMPT_ID)
        .is_some_and(|id| id != attempt_id)
    {
        return Err(SendFailure::Broken("answer to another request".to_owned()));
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(match target_at_fault(map) {
            Some(target) => SendFailure::Declined {
                status,
                at_fault: Some(target),
            },
            None => SendFailure::WrongTarget,
        });
    }
    if map.contains_key(&headers::NOT_RUN) {
        let at_fault = target_at_fault(map);
        return Err(SendFailure::Declined { status, at_fault });
    }
    if map.get(&headers::ATTEMPT_ID).is_none() {
        return Err(SendFailure::Broken("answer has no attempt id".to_owned()));
    }
    Ok(())
}

fn target_at_fault(map: &HeaderMap) -> Option<String> {
    let at = map.get(&headers::AT_TARGET)?.to_str().ok()?;
    Some(at.to_owned())
}

/// How long the target keeps the connection open; `None` if it closes it after this answer.
pub(super) fn keep_alive(map: &HeaderMap) -> Option<KeepAlive> {
    let closes = map.get_all(CONNECTION).iter().any(|v| {
        v.to_str()
            .is_ok_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close")))
    });
    if closes {
        return None;
    }
    let announced = map.get(&KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let seconds = announced.and_then(|v| {
        v.split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))
            .and_then(|s| s.trim().parse().ok())
    });
    let time = seconds.map(|s| Duration::from_secs(s).min(MAX_DURATION));
    Some(KeepAlive(time))
}

/// Time for which a target keeps an idle connection open; `None` if it states none.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeepAlive(pub(super) Option<Duration>);

/// Time left until `at`; zero if it has passed.
pub(super) fn time_until(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}
