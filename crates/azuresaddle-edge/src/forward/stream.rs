//! Requests that are answered by a stream of events.
//!
//! A relay task sends the request, passes whole events on as they arrive, and goes on at another
//! target after the last event where the route allows it.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{HelperRef, encode_helpers};
use azuresaddle_sched::passes::PassOutcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::answer::{own_answer, refusal};
use super::attempt::{SendFailure, kept_for, send, until};
use super::body::{Piece, ProxyBody};
use super::caller_watch::{CallerWatch, Completion};
use super::event_splitter::EventSplitter;
use super::forwarder::Forwarder;
use super::head::{ForwardRequest, Sending, strip_hop_by_hop};
use super::plain::note_failure;
use super::reservations::{Reservations, reserve};
use crate::placement::{PlaceRequest, Placed};
use crate::targets::{Busy, Connection};

/// Pieces of events that wait for a slow caller.
const MAX_WAITING_PIECES: usize = 32;

/// Longest answer without events that is taken whole, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Most sends that ended without the request being run.
const MAX_DECLINED: u32 = 5;

/// Part of the latency target kept for the way back to the caller.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(12);

/// Pause between events assumed where the route states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// Expected times to the first event after which a target counts as silent.
const FIRST_EVENT_PATIENCE: f64 = 2.5;

/// Time added to that, for the error of short estimates.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);

/// Longest pauses after which a target counts as silent in the middle of a stream.
const PAUSE_PATIENCE: u32 = 4;

/// Shortest such time.
const MIN_PAUSE_PATIENCE: Duration = Duration::from_millis(700);

/// Shortest time that callers wait for an event, by their own protocol.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Latency targets that callers wait for an event.
const CALLER_TARGETS: u32 = 4;

/// Longest pauses that callers wait for an event.
const CALLER_PAUSES: u32 = 8;

/// Time to come back where nothing is known of when a target is free.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Relays a request that is answered by events.
pub(super) async fn forward_stream<N: Network>(
    cx: Arc<Forwarder<N>>,
    req: ForwardRequest,
) -> Response<ProxyBody> {
    let left = cx.spawner.clone();
    let cancel = CancellationToken::new();
    let guard = cancel.clone().drop_guard();
    let (head_tx, head_rx) = oneshot::channel();
    let (pieces_tx, pieces_rx) = mpsc::channel(MAX_WAITING_PIECES);
    let watch = CallerWatch::new(req.head.id(), req.arrived);
    let relay = Relay {
        completion: watch.completion(),
        cx,
        last_event_id: req.head.last_event_id.clone(),
        req,
        head: Some(head_tx),
        pieces: pieces_tx,
        last_id: None,
        exclude: Vec::new(),
        runs: 0,
        declined: 0,
        last_failure: None,
        first_event_ms: None,
        last_event_at: None,
    };
    left.spawn(async move {
        // Dropped after the relay, when the answer is complete or the caller has left.
        let _watch = watch;
        tokio::select! {
            biased;
            // Dropping the relay closes the connection, which stops the target.
            () = cancel.cancelled() => {}
            () = relay.run() => {}
        }
    });
    match head_rx.await {
        Ok(Begin::Whole(response)) => *response,
        Ok(Begin::Events { status, headers }) => {
            let mut response = Response::new(ProxyBody::relayed(pieces_rx, guard));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err(_) => own_answer(StatusCode::BAD_GATEWAY, "the relay ended"),
    }
}

/// How the answer begins.
enum Begin {
    /// It is there as a whole.
    Whole(Box<Response<ProxyBody>>),
    /// Events follow.
    Events {
        status: StatusCode,
        headers: HeaderMap,
    },
}

/// How one send ended.
enum Sent {
    /// The answer is complete.
    Complete,
    /// The target ran the request and answered with a failure.
    Failed(Box<Response<ProxyBody>>),
    /// There was no answer, or it broke off.
    Lost(SendFailure),
    /// The caller left.
    CallerGone,
}

/// Where a request is sent.
struct Place<N: Network> {
    target: Arc<TargetEntry>,
    helpers: Vec<Arc<TargetEntry>>,
    placed: Option<Placed<N>>,
    _busy: Option<Busy>,
    first_event_patience: Duration,
}

impl<N: Network> Place<N> {
    fn on_first_event(&self) {
        if let Some(placed) = &self.placed {
            placed.on_first_event();
        }
    }

    fn end(self, outcome: PassOutcome) {
        if let Some(placed) = self.placed {
            placed.end(outcome);
        }
    }
}

/// One stream from its request to its end.
struct Relay<N: Network> {
    completion: Completion,
    cx: Arc<Forwarder<N>>,
    req: ForwardRequest,
    /// Takes the head of the answer; `None` once it is sent.
    head: Option<oneshot::Sender<Begin>>,
    pieces: mpsc::Sender<Piece>,
    /// Last event that the caller has, by its own word or passed on here.
    last_event_id: Option<HeaderValue>,
    /// Id of the last event that was passed on here.
    last_id: Option<u64>,
    exclude: Vec<HostName>,
    runs: u32,
    declined: u32,
    last_failure: Option<Box<Response<ProxyBody>>>,
    /// Time from the arrival to the first event.
    first_event_ms: Option<u64>,
    /// When the last event was passed on.
    last_event_at: Option<Instant>,
}

impl<N: Network> Relay<N> {
    async fn run(mut self) {
        loop {
            let place = match self.place().await {
                Ok(place) => place,
                Err(retry_after) => return self.refuse(retry_after),
            };
            let lead = place.target.id.clone();
            match self.send(&place).await {
                Sent::Complete => {
                    self.cx.metrics.on_send(&self.req.service, "answered");
                    self.log(&lead, "stream complete");
                    return place.end(PassOutcome::Done);
                }
                Sent::CallerGone => return place.end(PassOutcome::Cancelled),
                Sent::Failed(response) => {
                    place.end(PassOutcome::TargetFailed(lead));
                    self.runs += 1;
                    self.last_failure = Some(response);
                    if !self.may_run_again() {
                        return self.give_up(&SendFailure::Broken("target failed".to_owned()));
                    }
                }
                Sent::Lost(failure) => {
                    self.note(&place.target, &failure);
                    place.end(outcome_of(lead, &failure));
                    if !self.may_go_on(&failure) {
                        return self.give_up(&failure);
                    }
                }
            }
        }
    }

    /// Finds a target.
    async fn place(&mut self) -> Result<Place<N>, Duration> {
        let service = Arc::clone(&self.req.service);
        match self.cx.engine_spec(&service) {
            Some(spec) => self.place_on_engines(spec.usual_answer_tokens).await,
            None => self.place_plain(),
        }
    }

    fn place_plain(&self) -> Result<Place<N>, Duration> {
        let snapshot = self.cx.snapshots.load();
        let targets = snapshot.targets.of_service(&self.req.service);
        let picked = self.cx.health.pick(targets, &self.exclude, &self.cx.domain);
        let (target, busy) = picked.ok_or(RETRY_AFTER)?;
        Ok(Place {
            target,
            helpers: Vec::new(),
            placed: None,
            _busy: Some(busy),
            first_event_patience: until(self.req.deadline),
        })
    }

    async fn place_on_engines(&mut self, usual_answer: u64) -> Result<Place<N>, Duration> {
        let route = &self.req.route;
        let (prompt_tokens, answer_tokens) = self.req.tokens().unwrap_or((1, usual_answer));
        let first_event_by = match self.last_id {
            None => self.req.arrived + route.latency_target,
            // A stream that goes on is late after a pause.
            Some(_) => Instant::now() + self.pause(),
        };
        let ask = PlaceRequest {
            service: Arc::clone(&self.req.service),
            account: self.req.account_name(),
            prompt_tokens,
            answer_tokens,
            first_event_by: first_event_by - FIRST_EVENT_MARGIN,
            pause: self.pause(),
            give_up_at: self.give_up_at(),
            deadline: self.req.deadline,
            exclude: self.exclude.clone(),
        };
        loop {
            let asked_at = Instant::now();
            let placed = self.cx.placement.place(ask.clone()).await?;
            self.cx
                .metrics
                .on_placed(&self.req.service, asked_at.elapsed());
            let snapshot = self.cx.snapshots.load();
            let known = snapshot.targets.get(&placed.lead);
            let usable = known.filter(|t| !self.cx.health.is_gone(&t.id));
            let Some(target) = usable.cloned() else {
                // The owner has not heard yet that the target is gone.
                let lead = placed.lead.clone();
                placed.end(PassOutcome::TargetRefused(lead.clone()));
                self.exclude.push(lead);
                self.declined += 1;
                if self.declined > MAX_DECLINED {
                    return Err(RETRY_AFTER);
                }
                continue;
            };
            let helpers: Vec<Arc<TargetEntry>> = placed
                .helpers
                .iter()
                .filter_map(|id| snapshot.targets.get(id).cloned())
                .collect();
            let stall = if helpers.is_empty() {
                Duration::ZERO
            } else {
                // A prompt that waits for a dead helper is declined after that time.
                self.cx.bounds.target_stall
            };
            tracing::info!(
                part = "forward",
                request = self.req.head.id(),
                route = %self.req.route.name,
                target = %target.id,
                helpers = %names(&helpers),
                reserved_tokens = placed.helper_memory_tokens,
                prompt_tokens,
                configuration = snapshot.configuration.as_ref().map_or(0, |c| c.version.0),
                owner = snapshot.owner,
                waited_ms = self.req.arrived.elapsed().as_millis() as u64,
                expected_ms = placed.first_event_in.as_millis() as u64,
                "placed"
            );
            let first_event_patience =
                placed.first_event_in.mul_f64(FIRST_EVENT_PATIENCE) + FIRST_EVENT_SLACK + stall;
            return Ok(Place {
                target,
                helpers,
                placed: Some(placed),
                _busy: None,
                first_event_patience,
            });
        }
    }

    /// When the caller gives up if no event comes.
    fn give_up_at(&self) -> Instant {
        let targets = self.req.route.latency_target * CALLER_TARGETS;
        let patience = targets
            .max(self.pause() * CALLER_PAUSES)
            .max(CALLER_PATIENCE);
        let since = self.last_event_at.unwrap_or(self.req.arrived);
        (since + patience).min(self.req.deadline)
    }

    fn pause(&self) -> Duration {
        self.req.route.pause_target.unwrap_or(DEFAULT_PAUSE)
    }

    /// Sends the request to one place and relays what comes.
    async fn send(&mut self, place: &Place<N>) -> Sent {
        let reserved = match self.reserve(place).await {
            Ok(reserved) => reserved,
            Err(failure) => return Sent::Lost(failure),
        };
        let helpers = match &reserved {
            Some(reserved) => reserved.helpers.clone(),
            None => plain_helpers(&place.helpers),
        };
        let mut connection = match self.cx.connect(&place.target).await {
            Ok(connection) => connection,
            Err(e) => return Sent::Lost(SendFailure::NotSent(e.to_string())),
        };
        let helpers = (!helpers.is_empty()).then(|| encode_helpers(&helpers));
        let to = Sending {
            target: &place.target.id,
            last_event_id: self.last_event_id.as_ref(),
            helpers: helpers.as_deref(),
        };
        let outgoing = self.req.for_target(&to);
        let first_event_at = (Instant::now() + place.first_event_patience).min(self.req.deadline);
        let id = &self.req.head.attempt_id;
        let response = match send(&mut connection, outgoing, id, until(first_event_at)).await {
            Ok(response) => response,
            Err(failure) => return Sent::Lost(failure),
        };
        if !response.status().is_success() {
            return self.take_failure(response, connection).await;
        }
        self.relay(place, response, connection, first_event_at)
            .await
    }

    async fn reserve(&self, place: &Place<N>) -> Result<Option<Reservations>, SendFailure> {
        let tokens = place.placed.as_ref().map_or(0, |p| p.helper_memory_tokens);
        if tokens == 0 {
            return Ok(None);
        }
        let id = self.req.head.id();
        let name = format!("{id}-{}", self.runs + self.declined);
        match reserve(&self.cx, &place.helpers, &name, tokens).await {
            Ok(reserved) => Ok(Some(reserved)),
            Err(at) => Err(SendFailure::Declined {
                status: StatusCode::CONFLICT,
                at: Some(at.to_string()),
            }),
        }
    }

    /// Takes a failure that the target made itself.
    async fn take_failure(&self, response: Response<Incoming>, connection: Connection) -> Sent {
        let (parts, body) = response.into_parts();
        let collect = Limited::new(body, MAX_WHOLE_BYTES).collect();
        let body = match tokio::time::timeout_at(self.req.deadline, collect).await {
            Err(_) => return Sent::Lost(SendFailure::Silent),
            Ok(Err(e)) => return Sent::Lost(SendFailure::Broken(e.to_string())),
            Ok(Ok(body)) => body.to_bytes(),
        };
        if let Some(kept) = kept_for(&parts.headers) {
            connection.give_back(kept.0);
        }
        let mut response = Response::new(ProxyBody::whole(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop(response.headers_mut());
        Sent::Failed(Box::new(response))
    }

    /// Passes events on until the stream ends.
    async fn relay(
        &mut self,
        place: &Place<N>,
        response: Response<Incoming>,
        connection: Connection,
        first_event_at: Instant,
    ) -> Sent {
        let (parts, mut body) = response.into_parts();
        let kept = kept_for(&parts.headers);
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let mut begin = Some(Begin::Events {
            status: parts.status,
            headers,
        });
        let mut splitter = EventSplitter::default();
        let silence = (self.pause() * PAUSE_PATIENCE).max(MIN_PAUSE_PATIENCE);
        let mut next_by = first_event_at;
        let mut seen_first = false;
        loop {
            let next_by_or_end = next_by.min(self.req.deadline);
            let chunk = match tokio::time::timeout_at(next_by_or_end, body.frame()).await {
                Err(_) => return Sent::Lost(SendFailure::Silent),
                Ok(None) => break,
                Ok(Some(Err(e))) => return Sent::Lost(SendFailure::Broken(e.to_string())),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let Some(events) = splitter.push(&chunk) else {
                return Sent::Lost(SendFailure::Broken("event too long".to_owned()));
            };
            if events.lengths.is_empty() {
                continue;
            }
            let now = Instant::now();
            next_by = now + silence;
            self.last_event_at = Some(now);
            if !seen_first {
                seen_first = true;
                self.note_first_event();
                place.on_first_event();
            }
            let Some(bytes) = self.next_in_order(events.bytes, &events.ids) else {
                return Sent::Lost(SendFailure::Broken("event out of order".to_owned()));
            };
            if !self.begin(&mut begin) || self.pieces.send(Piece::Data(bytes)).await.is_err() {
                return Sent::CallerGone;
            }
        }
        if splitter.has_rest() {
            return Sent::Lost(SendFailure::Broken("ended inside an event".to_owned()));
        }
        if let Some(kept) = kept {
            connection.give_back(kept.0);
        }
        self.completion.set();
        if !self.begin(&mut begin) || self.pieces.send(Piece::End).await.is_err() {
            return Sent::CallerGone;
        }
        Sent::Complete
    }

    fn note_first_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let took = self.req.arrived.elapsed();
        self.first_event_ms = Some(took.as_millis() as u64);
        self.cx.metrics.on_first_event(&self.req.service, took);
    }

    /// Sends the head on, once for the whole answer; false where the caller left.
    fn begin(&mut self, begin: &mut Option<Begin>) -> bool {
        match (self.head.take(), begin.take()) {
            (Some(tx), Some(begin)) => tx.send(begin).is_ok(),
            _ => true,
        }
    }

    /// Checks that events go on where the last ones ended, and notes the last.
    fn next_in_order(&mut self, bytes: Bytes, ids: &[u64]) -> Option<Bytes> {
        let mut last_id = self.last_id;
        for id in ids {
            if last_id.is_some_and(|last| *id != last + 1) {
                return None;
            }
            last_id = Some(*id);
        }
        self.last_id = last_id;
        if let Some(last) = self.last_id {
            let value = HeaderValue::try_from(last.to_string()).expect("a number is ASCII");
            self.last_event_id = Some(value);
        }
        Some(bytes)
    }

    fn note(&mut self, target: &TargetEntry, failure: &SendFailure) {
        note_failure(&self.cx, target, failure);
        let at = match failure {
            SendFailure::Declined { at: Some(at), .. } => self.name_of(at),
            _ => None,
        };
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            target = %target.id,
            failure = %failure,
            last_event = self.last_id,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            "send failed"
        );
        self.exclude.push(at.unwrap_or_else(|| target.id.clone()));
    }

    /// The target at an address, or the name itself.
    fn name_of(&self, at: &str) -> Option<HostName> {
        let snapshot = self.cx.snapshots.load();
        let targets = snapshot.targets.of_service(&self.req.service);
        let found = targets
            .iter()
            .find(|t| t.id.as_str() == at || t.addr.to_string() == at);
        found.map(|t| t.id.clone())
    }

    /// Notes a lost send; whether another one may follow.
    fn may_go_on(&mut self, failure: &SendFailure) -> bool {
        if failure.verdict() == Verdict::NotRun {
            self.declined += 1;
            return self.declined <= MAX_DECLINED
                && !until(self.req.deadline).is_zero()
                && (!failure.has_arrived() || self.cx.may_repeat(&self.req.service));
        }
        self.runs += 1;
        self.may_run_again()
    }

    fn may_run_again(&self) -> bool {
        self.req.is_idempotent()
            && self.runs < self.req.route.max_attempts
            && !until(self.req.deadline).is_zero()
            && (self.head.is_some() || self.last_id.is_some())
            && self.cx.may_repeat(&self.req.service)
    }

    /// Final answer of a request that no engine takes.
    fn refuse(mut self, retry_after: Duration) {
        self.completion.set();
        self.log(&HostName::new(""), "stream refused");
        if self.runs > 0 {
            return self.give_up(&SendFailure::Silent);
        }
        match self.head.take() {
            Some(tx) => {
                let response = refusal("no engine can serve this in time", retry_after);
                // The caller may be gone.
                let _ = tx.send(Begin::Whole(Box::new(response)));
            }
            // A begun answer that stops without its end is seen to be incomplete.
            None => drop(self.pieces),
        }
    }

    /// Final answer after a failed send.
    fn give_up(mut self, failure: &SendFailure) {
        self.completion.set();
        self.log(&HostName::new(""), "stream given up");
        let Some(tx) = self.head.take() else {
            // A begun answer that stops without its end is seen to be incomplete.
            return;
        };
        let response = match (self.last_failure.take(), failure) {
            (Some(response), _) => *response,
            (None, _) if self.runs == 0 => refusal("no target took the request", RETRY_AFTER),
            (None, SendFailure::Silent) => {
                own_answer(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            (None, _) => own_answer(StatusCode::BAD_GATEWAY, "the target broke off"),
        };
        // The caller may be gone.
        let _ = tx.send(Begin::Whole(Box::new(response)));
    }

    fn log(&self, target: &HostName, what: &'static str) {
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            route = %self.req.route.name,
            target = %target,
            runs = self.runs,
            declined = self.declined,
            last_event = self.last_id,
            first_event_ms = self.first_event_ms,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            left_ms = until(self.req.deadline).as_millis() as u64,
            prompt_tokens = self.req.tokens().map(|(prompt, _)| prompt),
            "{what}"
        );
    }
}

fn outcome_of(lead: HostName, failure: &SendFailure) -> PassOutcome {
    match failure {
        // The one at fault is excluded for this request; the lead itself did nothing wrong.
        SendFailure::Declined { at: Some(_), .. } => PassOutcome::Cancelled,
        SendFailure::Declined { .. } => PassOutcome::TargetRefused(lead),
        SendFailure::NotSent(_)
        | SendFailure::WrongTarget
        | SendFailure::Broken(_)
        | SendFailure::Silent => PassOutcome::TargetFailed(lead),
    }
}

/// Names of targets for one log line.
fn names(targets: &[Arc<TargetEntry>]) -> String {
    let names: Vec<&str> = targets.iter().map(|t| t.id.as_str()).collect();
    names.join(",")
}

fn plain_helpers(helpers: &[Arc<TargetEntry>]) -> Vec<HelperRef> {
    let refs = helpers.iter().map(|h| HelperRef {
        addr: h.addr,
        reservation: None,
    });
    refs.collect()
}
