//! The engine's HTTP interface; see [`azuresaddle_node::engine::wire`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, ServerLimits, json, problem, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_node::engine::wire::{
    CacheChanges, CacheListing, FencingToken, GoneReply, LendRequest, LoadReport, StartRequest,
    StreamList, TITLE_DISPLACED, TITLE_DUPLICATE, TITLE_FENCED, TITLE_NO_MEMORY,
    TITLE_UNKNOWN_STREAM,
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, mpsc};

use super::faults::{EngineFaults, is_affected};
use super::loops::spawn_loops;
use super::options::EngineOptions;
use super::sender::Sender;
use super::state::{EngineState, Rejection};
use crate::http_util::{bad_request, query_param, read_json};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of events buffered for a slow reader.
const EVENT_QUEUE_LEN: usize = 16;

/// HTTP server of a running engine.
#[derive(Clone)]
pub struct EngineServer {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

pub(super) struct Shared {
    state: Mutex<EngineState>,
    faults: Mutex<EngineFaults>,
    load: Mutex<LoadReport>,
    pub(super) incarnation: Incarnation,
    pub(super) queued: Notify,
    pub(super) decoding: Notify,
    /// Notified when a stream is cancelled.
    pub(super) cancelled: Notify,
    spawner: Spawner,
}

impl EngineServer {
    /// Binds to the address and starts serving.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind<N: Network>(
        net: &N,
        addr: SocketAddr,
        spawner: &Spawner,
        options: EngineOptions,
        incarnation: Incarnation,
    ) -> std::io::Result<Self> {
        let listener = net.bind(addr).await?;
        let addr = listener.local_addr();
        let load = LoadReport {
            incarnation,
            memory_tokens: options.memory_tokens,
            used_tokens: 0,
            streams: 0,
            cache_sequence: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(EngineState::new(options)),
            faults: Mutex::default(),
            load: Mutex::new(load),
            incarnation,
            queued: Notify::new(),
            decoding: Notify::new(),
            cancelled: Notify::new(),
            spawner: spawner.clone(),
        });
        spawn_loops(&shared, spawner);
        let handler = Arc::new(EngineHandler {
            shared: Arc::clone(&shared),
        });
        serve(listener, spawner.clone(), ServerLimits::default(), handler);
        Ok(Self { shared, addr })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The active faults.
    pub fn faults(&self) -> EngineFaults {
        self.shared.faults()
    }

    /// Memory in use, in tokens.
    pub fn used_tokens(&self) -> u64 {
        self.shared.state().used_tokens()
    }

    /// Number of streams that hold memory.
    pub fn live_streams(&self) -> usize {
        self.shared.state().live_streams().len()
    }

    /// Number of prefills started for each prompt, by the prompt's digest.
    pub fn executions(&self) -> HashMap<u64, u64> {
        self.shared.state().executions.clone()
    }
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }

    pub(super) fn faults(&self) -> EngineFaults {
        *lock(&self.faults)
    }

    pub(super) fn load(&self) -> MutexGuard<'_, LoadReport> {
        lock(&self.load)
    }

    /// Never returns if the `silent` fault is active at the time of the call.
    pub(super) async fn hang_if_silent(&self) {
        if self.faults().silent {
            std::future::pending::<()>().await;
        }
    }
}

struct EngineHandler {
    shared: Arc<Shared>,
}

impl EngineHandler {
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&method, segments.as_slice()) {
            (&Method::PUT, ["faults"]) => {
                let faults: EngineFaults = read_body(req).await?;
                *lock(&self.shared.faults) = faults;
                return Ok(json(StatusCode::OK, &faults));
            }
            (&Method::GET, ["counts"]) => {
                return Ok(json(StatusCode::OK, &self.shared.state().executions));
            }
            _ => {}
        }
        self.shared.hang_if_silent().await;
        let shared = &self.shared;
        match (&method, segments.as_slice()) {
            (&Method::POST, ["v1", "streams"]) => {
                let start: StartRequest = read_body(req).await?;
                let (id, first) = (start.stream, start.prior.len() as u64);
                let reader = shared.state().start(start).map_err(rejection_problem)?;
                shared.queued.notify_waiters();
                Ok(self.respond(id, first, reader))
            }
            (&Method::GET, ["v1", "streams", id]) => {
                let id = stream_id(id)?;
                let after = query_param(&req, "after")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                let node = HostName::new(query_param(&req, "node").unwrap_or_default());
                let take_over = query_param(&req, "take-over").as_deref() == Some("true");
                let resumed = shared.state().resume(id, after, &node, take_over);
                Ok(self.respond(id, after, resumed.map_err(rejection_problem)?))
            }
            (&Method::DELETE, ["v1", "streams", id]) => self.cancel(&req, stream_id(id)?).await,
            (&Method::POST, ["v1", "lends"]) => {
                let lend: LendRequest = read_body(req).await?;
                shared.state().lend(lend).map_err(rejection_problem)?;
                Ok(json(StatusCode::OK, &GoneReply { gone: false }))
            }
            (&Method::GET, ["v1", "streams"]) => {
                let list = StreamList {
                    incarnation: shared.incarnation,
                    streams: shared.state().live_streams(),
                };
                Ok(json(StatusCode::OK, &list))
            }
            (&Method::GET, ["v1", "load"]) => Ok(json(StatusCode::OK, &*shared.load())),
            (&Method::GET, ["v1", "cache"]) => {
                let after = query_param(&req, "after")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                let gap = shared.faults().cache_gap_every;
                let mut events = shared.state().cache.events_after(after);
                let seen = shared.load().cache_sequence;
                events.retain(|e| e.sequence <= seen && !is_affected(gap, e.sequence));
                Ok(json(StatusCode::OK, &CacheChanges { events }))
            }
            (&Method::GET, ["v1", "cache", "listing"]) => {
                let state = shared.state();
                let listing = CacheListing {
                    sequence: state.cache.sequence(),
                    blocks: state.cache.blocks(),
                };
                Ok(json(StatusCode::OK, &listing))
            }
            _ => Err(bad_request("unknown path")),
        }
    }

    async fn cancel(
        &self,
        req: &Request<Incoming>,
        id: StreamId,
    ) -> Result<Response<Body>, Problem> {
        let lost = {
            let mut faults = lock(&self.shared.faults);
            let lost = faults.lose_cancels > 0;
            faults.lose_cancels = faults.lose_cancels.saturating_sub(1);
            lost
        };
        if lost {
            std::future::pending::<()>().await;
        }
        let fence = FencingToken {
            pool: query_param(req, "pool").unwrap_or_default(),
            epoch: Epoch(
                query_param(req, "epoch")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0),
            ),
        };
        let mut state = self.shared.state();
        state.check_fence(&fence).map_err(rejection_problem)?;
        state.cancel(id);
        drop(state);
        self.shared.cancelled.notify_waiters();
        Ok(json(StatusCode::OK, &GoneReply { gone: true }))
    }

    /// Creates a response that sends the events of a stream to one reader.
    fn respond(&self, id: StreamId, first: u64, reader: u64) -> Response<Body> {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let shared = Arc::clone(&self.shared);
        self.shared.spawner.spawn(async move {
            let mut sender = Sender::new(&shared, id, reader, first, tx);
            sender.run().await;
        });
        let frames = futures::stream::unfold(rx, |mut rx: mpsc::Receiver<Bytes>| async move {
            rx.recv().await.map(|bytes| (Ok(Frame::data(bytes)), rx))
        });
        Response::new(BodyExt::boxed(StreamBody::new(frames)))
    }
}

impl Handler for EngineHandler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => problem(&p),
        }
    }
}

fn rejection_problem(rejection: Rejection) -> Problem {
    let (status, title, verdict) = match rejection {
        Rejection::Fenced => (
            StatusCode::PRECONDITION_FAILED,
            TITLE_FENCED,
            Verdict::NotRun,
        ),
        Rejection::NoMemory => (
            StatusCode::INSUFFICIENT_STORAGE,
            TITLE_NO_MEMORY,
            Verdict::NotRun,
        ),
        Rejection::Duplicate => (StatusCode::CONFLICT, TITLE_DUPLICATE, Verdict::MayHaveRun),
        Rejection::Displaced => (StatusCode::CONFLICT, TITLE_DISPLACED, Verdict::MayHaveRun),
        Rejection::Unknown => (
            StatusCode::NOT_FOUND,
            TITLE_UNKNOWN_STREAM,
            Verdict::MayHaveRun,
        ),
    };
    Problem::not_run(status, title, title).verdict(verdict)
}

fn stream_id(text: &str) -> Result<StreamId, Problem> {
    text.parse().map_err(|_| bad_request("bad stream id"))
}

async fn read_body<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, Problem> {
    read_json(req, MAX_BODY_BYTES, BODY_TIMEOUT).await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
