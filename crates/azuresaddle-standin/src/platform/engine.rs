//! Stand-in engines that generate tokens in passes, in real time.

mod orders;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;
use azuresaddle_platform::{REPORT_PATH, RESERVATION_PATH, headers};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::body::{ChannelBody, Chunk};
use super::target::{RequestHandler, Target, TargetFault, header_text, read_body};
use crate::passes::EngineModel;

/// Time that an engine with [`TargetFault::Stalls`] adds to each pass.
const STALL: Duration = Duration::from_millis(1600);

/// Factor by which [`TargetFault::Slow`] lengthens each pass.
const SLOW_PACE: f64 = 4.0;

/// All engines of a service by address, to find the helpers of a prompt that several engines prefill.
#[derive(Clone, Default)]
pub(super) struct EngineRegistry(Arc<Mutex<HashMap<SocketAddr, Arc<Engine>>>>);

impl EngineRegistry {
    pub(super) fn add(&self, addr: SocketAddr, engine: Arc<Engine>) {
        self.lock().insert(addr, engine);
    }

    /// Registers an engine under an additional address.
    pub(super) fn add_alias(&self, addr: SocketAddr, alias: SocketAddr) {
        let engine = self.get(addr);
        if let Some(engine) = engine {
            self.add(alias, engine);
        }
    }

    fn get(&self, addr: SocketAddr) -> Option<Arc<Engine>> {
        self.lock().get(&addr).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Engine>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream on an engine.
struct Stream {
    chunks: mpsc::UnboundedSender<Chunk>,
    prompt_tokens: u64,
    answer_tokens: u64,
    next_event: u64,
    parts_left: usize,
    /// Whether a fault has stopped its events for good.
    is_silent: bool,
}

struct State {
    model: EngineModel,
    streams: HashMap<usize, Stream>,
    reservations: HashMap<String, (u64, Instant)>,
    next_stream: usize,
}

/// One engine.
pub(super) struct Engine {
    spec: EngineSpec,
    registry: EngineRegistry,
    state: Mutex<State>,
    work_available: Notify,
}

impl Engine {
    /// Starts an engine.
    pub(super) fn spawn(
        spec: EngineSpec,
        registry: EngineRegistry,
        target: Arc<Target>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            state: Mutex::new(State {
                model: EngineModel::new(spec.clone(), 1.0),
                streams: HashMap::new(),
                reservations: HashMap::new(),
                next_stream: 0,
            }),
            spec,
            registry,
            work_available: Notify::new(),
        });
        let passes = Arc::clone(&engine);
        tokio::spawn(async move {
            let stopped = target.stopped.clone();
            tokio::select! {
                () = stopped.cancelled() => passes.lock().streams.clear(),
                () = passes.run_passes(&target) => {}
            }
        });
        engine
    }

    /// Returns the tokens of memory reserved at present.
    pub(super) fn reserved_tokens(&self) -> u64 {
        let now = Instant::now();
        let mut state = self.lock();
        state.reservations.retain(|_, (_, until)| *until > now);
        state.reservations.values().map(|(tokens, _)| tokens).sum()
    }

    async fn run_passes(&self, target: &Target) {
        loop {
            let ms = self.lock().model.begin_pass();
            let Some(ms) = ms else {
                self.work_available.notified().await;
                continue;
            };
            let ms = ms * pace_of(target);
            tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
            if target.fault() == TargetFault::Stalls {
                tokio::time::sleep(STALL).await;
            }
            self.end_pass(target);
        }
    }

    fn end_pass(&self, target: &Target) {
        let mut state = self.lock();
        let end = state.model.end_pass();
        let mut finished = Vec::new();
        for (id, is_last) in end.events {
            if !state.write_event(id, is_last, target) {
                finished.push(id);
            }
        }
        let steps = u64::from(self.spec.steps_per_pass);
        for id in end.prefilled {
            // A part that was prefilled for another engine has no stream here.
            let Some(stream) = state.streams.get_mut(&id) else {
                continue;
            };
            stream.parts_left = stream.parts_left.saturating_sub(1);
            if stream.parts_left > 0 {
                continue;
            }
            let left = stream.answer_tokens.saturating_sub(steps);
            let context = stream.prompt_tokens;
            if !state.write_event(id, left == 0, target) {
                finished.push(id);
            } else if left > 0 {
                state.model.add_decode(id, context, left);
            }
        }
        for id in finished {
            state.streams.remove(&id);
        }
    }

    /// Starts a stream of events for a request.
    async fn stream(&self, target: &Arc<Target>, req: Request<Incoming>) -> Response<ChannelBody> {
        let map = req.headers().clone();
        let body = read_body(req).await;
        let attempt = header_text(&map, headers::ATTEMPT_ID.as_str());
        let tokens = map
            .get(headers::TOKEN_COUNTS)
            .and_then(headers::parse_token_counts);
        let Some((prompt_tokens, answer_tokens)) = tokens else {
            return target.decline(StatusCode::BAD_REQUEST);
        };
        let last: u64 = header_text(&map, headers::LAST_EVENT_ID.as_str())
            .parse()
            .unwrap_or(0);
        let helpers = match self.helpers(&map) {
            Some(helpers) => helpers,
            None => return target.decline(StatusCode::SERVICE_UNAVAILABLE),
        };
        let parts = helpers.len() + 1;
        let steps = u64::from(self.spec.steps_per_pass);
        if last > 0 && last * steps >= answer_tokens {
            // The caller has all events already.
            target.record_run(&map);
            return target.answer(&attempt, ChannelBody::whole(""));
        }
        let (tx, rx) = mpsc::unbounded_channel();
        {
            let mut state = self.lock();
            if state.streams.len() >= self.spec.slots as usize {
                return target.decline(StatusCode::SERVICE_UNAVAILABLE);
            }
            state.next_stream += 1;
            let id = state.next_stream;
            let stream = Stream {
                chunks: tx,
                prompt_tokens,
                answer_tokens: answer_tokens.saturating_sub(last * steps).max(1),
                next_event: last + 1,
                parts_left: 1,
                is_silent: false,
            };
            state.streams.insert(id, stream);
            state.model.add_prefill(id, prompt_tokens, parts, false);
        }
        for helper in helpers {
            let mut state = helper.lock();
            state.next_stream += 1;
            let id = state.next_stream;
            state.model.add_prefill(id, prompt_tokens, parts, true);
            drop(state);
            helper.work_available.notify_one();
        }
        target.record_run(&map);
        target
            .crashing_requests
            .crash_if_listed(target, &map, &body);
        self.work_available.notify_one();
        target.answer(&attempt, ChannelBody(rx))
    }

    /// Returns the engines that help with the prefill, or `None` if one is unknown or lacks its reservation.
    fn helpers(&self, map: &hyper::HeaderMap) -> Option<Vec<Arc<Self>>> {
        let value = header_text(map, headers::HELPERS.as_str());
        let entries = value.split(',').filter(|e| !e.is_empty());
        entries
            .map(|entry| {
                let (addr, reservation) = match entry.split_once('/') {
                    Some((addr, reservation)) => (addr, Some(reservation)),
                    None => (entry, None),
                };
                let engine = self.registry.get(addr.parse().ok()?)?;
                if let Some(name) = reservation
                    && !engine.lock().reservations.contains_key(name)
                {
                    return None;
                }
                Some(engine)
            })
            .collect()
    }

    fn report(&self, target: &Target) -> String {
        let reserved = self.reserved_tokens();
        let state = self.lock();
        json!({
            "phase": "unified",
            "born": target.started_ms,
            "busy": false,
            "sequence": 0,
            "queued": 0,
            "active": state.streams.len(),
            "kv_used": reserved,
            "kv_total": self.spec.memory_tokens,
            "pace": pace_of(target),
        })
        .to_string()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Writes the next event of a stream; returns `false` if the stream ended or its caller disconnected.
    fn write_event(&mut self, id: usize, is_last: bool, target: &Target) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        match target.fault() {
            TargetFault::Silent | TargetFault::AnswersLost => stream.is_silent = true,
            TargetFault::AbortsAnswers if stream.next_event > 1 => {
                let half = Bytes::from(format!("id: {}\nda", stream.next_event));
                // Dropping the stream aborts the body in the middle of the event.
                let _ = stream.chunks.send(Chunk::Data(half));
                return false;
            }
            _ => {}
        }
        if stream.is_silent {
            return true;
        }
        let event = event_text(stream.next_event);
        stream.next_event += 1;
        let mut is_open = stream.chunks.send(Chunk::Data(Bytes::from(event))).is_ok();
        if is_last {
            is_open &= stream.chunks.send(Chunk::End).is_ok();
        }
        is_open && !is_last
    }
}

fn pace_of(target: &Target) -> f64 {
    match target.fault() {
        TargetFault::Slow => SLOW_PACE,
        _ => 1.0,
    }
}

/// Returns the text of a server-sent event.
pub(super) fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Handles the requests, reservations and load reports of an engine.
pub(super) struct EngineHandler(pub(super) Arc<Engine>);

impl RequestHandler for EngineHandler {
    async fn run(
        self: Arc<Self>,
        target: Arc<Target>,
        req: Request<Incoming>,
    ) -> Response<ChannelBody> {
        match req.uri().path() {
            RESERVATION_PATH => {
                let (status, body) = Arc::clone(&self.0).handle_order(&target, req).await;
                let mut response = Response::new(ChannelBody::whole(body));
                *response.status_mut() = status;
                response
            }
            REPORT_PATH => Response::new(ChannelBody::whole(self.0.report(&target))),
            _ => self.0.stream(&target, req).await,
        }
    }
}
