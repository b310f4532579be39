//! Requests engines for streams from the node that owns the pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_rpc::RpcError;
use azuresaddle_sched::passes::{DEFAULT_PRIORITY, PlacementId, RunningStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::guard::PlacementGuard;
use super::owner::Owner;
use super::owner_silence::OwnerSilence;
use super::place_request::PlaceRequest;
use super::ranked_calls::RankedCalls;
use super::reporter::{run_reporter, run_sync};
use crate::peer::{PeerClients, PlaceMessage, PlaceReply, ReportKind, StreamReport, SyncMessage};
use crate::snapshot::{NO_OWNER, Snapshots};

/// Delay before a request without a decision is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Time without a decision after which this node places the stream itself. It then knows only its own
/// streams.
const LOCAL_PLACEMENT_DELAY: Duration = Duration::from_millis(200);

/// Most reports that wait to be sent.
const REPORT_QUEUE_CAPACITY: usize = 4096;

/// State of a stream that this node has requested engines for.
#[derive(Debug)]
pub(super) enum StreamState {
    /// No decision yet.
    Waiting,
    /// Engines are assigned.
    Running {
        service: Arc<str>,
        stream: RunningStream,
        /// When the first event is expected.
        first_event_at: Instant,
    },
}

/// Dependencies of [`PlacementClient`].
pub(crate) struct PlacementClientParts<N> {
    /// Incarnation of this node.
    pub(crate) node: u64,
    /// Failure domain of this node.
    pub(crate) domain: FailureDomain,
    /// Whether requests are sent with their priority.
    pub(crate) sends_priority: bool,
    pub(crate) owner: Arc<Owner>,
    pub(crate) peers: PeerClients<N>,
    pub(crate) snapshots: Snapshots,
    /// Sends the incarnation of an owner that does not answer to control.
    pub(crate) unresponsive_owners: mpsc::Sender<u64>,
}

/// Requests engines from the owner, and reports the state of their streams to it.
pub(crate) struct PlacementClient<N> {
    node: u64,
    domain: FailureDomain,
    sends_priority: bool,
    ranked_calls: RankedCalls,
    owner: Arc<Owner>,
    peers: PeerClients<N>,
    snapshots: Snapshots,
    next_number: AtomicU64,
    streams: Mutex<HashMap<PlacementId, StreamState>>,
    reports: mpsc::Sender<StreamReport>,
    /// Incremented when the connection to the owner turns out to be broken, so that requests on it are repeated.
    reconnects: watch::Sender<u64>,
    /// Sends the incarnation of an owner that does not answer to control.
    unresponsive_owners: mpsc::Sender<u64>,
    owner_silence: OwnerSilence,
}

impl<N: Network> PlacementClient<N> {
    /// Creates a client and starts the tasks that report to the owner.
    pub(crate) fn spawn(spawner: &Spawner, parts: PlacementClientParts<N>) -> Arc<Self> {
        let (reports, reports_rx) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let placement = Arc::new(Self {
            node: parts.node,
            domain: parts.domain,
            sends_priority: parts.sends_priority,
            ranked_calls: RankedCalls::default(),
            owner: parts.owner,
            peers: parts.peers,
            snapshots: parts.snapshots,
            next_number: AtomicU64::new(1),
            streams: Mutex::default(),
            reports,
            reconnects: watch::Sender::new(0),
            unresponsive_owners: parts.unresponsive_owners,
            owner_silence: OwnerSilence::default(),
        });
        let reporter = run_reporter(Arc::clone(&placement), reports_rx);
        spawner.spawn_essential("stream reports", reporter);
        spawner.spawn_essential("stream sync", run_sync(Arc::clone(&placement)));
        placement
    }

    /// Waits until engines are assigned to a stream.
    ///
    /// # Errors
    /// The time after which the caller may retry, if the stream is refused; it did not run.
    pub(crate) async fn place(
        self: &Arc<Self>,
        req: PlaceRequest,
    ) -> Result<PlacementGuard<N>, Duration> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = PlacementId {
            node: self.node,
            number,
        };
        self.lock().insert(id, StreamState::Waiting);
        // Created before the request is sent, so that its drop removes the entry also if this future is cancelled.
        let mut guard = PlacementGuard {
            placement: Arc::clone(self),
            id,
            service: Arc::clone(&req.service),
            lead: HostName::new(""),
            helpers: Vec::new(),
            helper_memory_tokens: 0,
            first_event_in: Duration::ZERO,
            is_ended: false,
        };
        let reply = self.request_until_decided(id, &req).await;
        match reply {
            PlaceReply::Granted {
                lead,
                helpers,
                helper_memory_tokens,
                first_event_in,
            } => {
                let stream = RunningStream {
                    id,
                    lead: lead.clone(),
                    helpers: helpers.clone(),
                    helper_memory_tokens,
                    prompt_tokens: req.prompt_tokens,
                    answer_tokens: req.answer_tokens,
                    pause: req.pause,
                    is_decoding: false,
                    first_event_in,
                    suspect: req.suspect,
                };
                let running = StreamState::Running {
                    service: req.service,
                    stream,
                    first_event_at: Instant::now() + first_event_in,
                };
                self.lock().insert(id, running);
                guard.lead = lead;
                guard.helpers = helpers;
                guard.helper_memory_tokens = helper_memory_tokens;
                guard.first_event_in = first_event_in;
                Ok(guard)
            }
            PlaceReply::Refused { retry_after } => Err(retry_after),
            PlaceReply::NoDecision | PlaceReply::Redirect { .. } => Err(RETRY_PAUSE),
        }
    }

    /// Sends the request to the current owner, and again after each change of owner, until there is a decision or the
    /// deadline has passed.
    async fn request_until_decided(&self, id: PlacementId, req: &PlaceRequest) -> PlaceReply {
        let mut owner_changes = self.snapshots.subscribe_owner();
        let mut reconnects = self.reconnects.subscribe();
        let mut failing_since: Option<Instant> = None;
        loop {
            let now = Instant::now();
            if now >= req.deadline {
                return PlaceReply::NoDecision;
            }
            let owner = *owner_changes.borrow_and_update();
            reconnects.mark_unchanged();
            if owner == NO_OWNER {
                // The node has just started; wait until an owner is known.
                let left = req.deadline.saturating_duration_since(now);
                let _ = tokio::time::timeout(left, owner_changes.changed()).await;
                continue;
            }
            let place_locally = failing_since.is_some_and(|at| now - at >= LOCAL_PLACEMENT_DELAY)
                || self.owner_silence.is_unreachable(now, owner);
            let reply = tokio::select! {
                reply = self.request_once(owner, id, req, place_locally) => reply,
                _ = owner_changes.changed() => continue,
                _ = reconnects.changed() => continue,
            };
            match &reply {
                Some(PlaceReply::NoDecision | PlaceReply::Redirect { .. }) | None => {
                    if failing_since.is_none() {
                        tracing::info!(
                            part = "placement",
                            owner,
                            waited_ms = now.elapsed().as_millis() as u64,
                            answered = reply.is_some(),
                            "no decision from the owner; retrying"
                        );
                    }
                    let since = *failing_since.get_or_insert(now);
                    if now - since >= LOCAL_PLACEMENT_DELAY / 2 {
                        self.report_unresponsive(owner);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Some(reply) => return reply.clone(),
            }
        }
    }

    async fn request_once(
        &self,
        owner: u64,
        id: PlacementId,
        req: &PlaceRequest,
        place_locally: bool,
    ) -> Option<PlaceReply> {
        if owner == self.node || place_locally {
            if place_locally {
                self.owner.sync(&self.sync_message());
            }
            let message = self.place_message(id, req);
            return Some(self.owner.place(message, self.priority(req)).await);
        }
        let peer = self.snapshots.load().node(owner)?.peer_addr;
        match self.request_from_peer(peer, id, req, false).await? {
            PlaceReply::Redirect { peer: named } => {
                self.follow_redirect(peer, named, id, req).await
            }
            reply => Some(reply),
        }
    }

    /// Creates the message for a request, with the times that remain now.
    fn place_message(&self, id: PlacementId, req: &PlaceRequest) -> PlaceMessage {
        let now = Instant::now();
        PlaceMessage {
            id,
            service: req.service.to_string(),
            account: req.account.clone(),
            domain: self.domain.clone(),
            prompt_tokens: req.prompt_tokens,
            answer_tokens: req.answer_tokens,
            first_event_in: req.first_event_by.saturating_duration_since(now),
            pause: req.pause,
            give_up_in: req.give_up_at.saturating_duration_since(now),
            time_left: req.deadline.saturating_duration_since(now),
            exclude: req.exclude.clone(),
            suspect: req.suspect,
            is_redirected: false,
        }
    }

    /// Priority that is sent with a request.
    fn priority(&self, req: &PlaceRequest) -> u8 {
        if self.sends_priority {
            req.priority
        } else {
            DEFAULT_PRIORITY
        }
    }

    /// Sends a request to a node, and waits for its reply; `None` if the call fails.
    pub(super) async fn request_from_peer(
        &self,
        peer: SocketAddr,
        id: PlacementId,
        req: &PlaceRequest,
        is_redirected: bool,
    ) -> Option<PlaceReply> {
        let message = PlaceMessage {
            is_redirected,
            ..self.place_message(id, req)
        };
        let priority = self.priority(req);
        let timeout = message.time_left;
        if !self.ranked_calls.are_used(Instant::now(), peer, priority) {
            let reply = self
                .peers
                .call(peer, timeout, async |client, cx| {
                    client.place(cx, message).await
                })
                .await;
            return reply.ok();
        }
        let reply = self
            .peers
            .call(peer, timeout, async |client, cx| {
                client.place_ranked(cx, message, priority).await
            })
            .await;
        if reply == Err(RpcError::Broken) {
            tracing::info!(
                part = "placement",
                peer = %peer,
                "call with a priority broke the connection; asking without one"
            );
            self.ranked_calls.on_broken(Instant::now(), peer);
        }
        reply.ok()
    }

    /// The state of all streams of this node.
    pub(super) fn sync_message(&self) -> SyncMessage {
        let now = Instant::now();
        let streams = self.lock();
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        for (id, state) in streams.iter() {
            match state {
                StreamState::Waiting => waiting.push(*id),
                StreamState::Running {
                    service,
                    stream,
                    first_event_at,
                } => {
                    let mut stream = stream.clone();
                    if !stream.is_decoding {
                        stream.first_event_in = first_event_at.saturating_duration_since(now);
                    }
                    running.push((service.to_string(), stream));
                }
            }
        }
        SyncMessage {
            node: self.node,
            running,
            waiting,
            up_to: self.next_number.load(Ordering::Relaxed).saturating_sub(1),
        }
    }

    /// Queues a report to the owner about a stream.
    pub(super) fn report(&self, id: PlacementId, service: &Arc<str>, kind: ReportKind) {
        let report = StreamReport {
            id,
            service: service.to_string(),
            kind,
        };
        if self.is_owner() {
            self.owner.report(vec![report]);
            return;
        }
        if self.reports.try_send(report).is_err() {
            // The owner learns of it from the next complete sync.
            tracing::warn!(
                part = "placement",
                "report to the owner dropped: queue full"
            );
        }
    }

    pub(super) fn is_owner(&self) -> bool {
        self.snapshots.load().owner == self.node
    }

    pub(super) fn local_owner(&self) -> &Arc<Owner> {
        &self.owner
    }

    pub(super) fn peers(&self) -> &PeerClients<N> {
        &self.peers
    }

    pub(super) fn snapshots(&self) -> &Snapshots {
        &self.snapshots
    }

    /// Records that the owner answered a message.
    pub(super) fn on_owner_answer(&self) {
        self.owner_silence.on_answer();
    }

    /// Repeats the requests on the current connection to the owner, and reports the owner to control as unresponsive.
    pub(super) fn on_unresponsive_owner(&self, owner: u64) {
        self.owner_silence.on_failure(Instant::now(), owner);
        self.reconnects.send_modify(|n| *n += 1);
        self.report_unresponsive(owner);
    }

    /// Reports an owner that does not answer to control, which may then choose another one.
    fn report_unresponsive(&self, owner: u64) {
        // A full channel already contains such reports.
        let _ = self.unresponsive_owners.try_send(owner);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<PlacementId, StreamState>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
