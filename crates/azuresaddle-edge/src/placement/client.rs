//! Asks the owner where a stream may run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PlacementId, RunningStream, Suspect};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::owner::Owner;
use super::placed::Placed;
use super::reporter::{run_reporter, run_sync};
use crate::peer::{AskMessage, AskReply, PeerClients, Report, ReportKind, SyncMessage};
use crate::snapshot::{NO_OWNER, Snapshots};

/// Pause before an owner that did not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Time without an owner after which this node places alone, by what it knows of its own streams.
const OWNER_PATIENCE: Duration = Duration::from_millis(200);

/// Reports that wait to be sent.
const MAX_WAITING_REPORTS: usize = 4096;

/// What is asked for.
#[derive(Clone, Debug)]
pub(crate) struct PlaceRequest {
    pub(crate) service: Arc<str>,
    pub(crate) account: ClientAccount,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) first_event_by: Instant,
    pub(crate) pause: Duration,
    /// When the caller gives up if no event has come.
    pub(crate) give_up_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) exclude: Vec<HostName>,
    /// The request, where a target has ended while it had it.
    pub(crate) suspect: Option<Suspect>,
}

/// An ask or stream of this node.
#[derive(Debug)]
pub(super) enum Live {
    Waiting,
    Running {
        service: Arc<str>,
        stream: RunningStream,
        /// When the first event is expected.
        first_event_at: Instant,
    },
}

/// What placement needs.
pub(crate) struct PlacementParts<N> {
    /// Incarnation of this node.
    pub(crate) node: u64,
    /// Failure domain of this node.
    pub(crate) domain: FailureDomain,
    pub(crate) owner: Arc<Owner>,
    pub(crate) peers: PeerClients<N>,
    pub(crate) snapshots: Snapshots,
    /// Tells control of an owner that does not answer.
    pub(crate) no_answer: mpsc::Sender<u64>,
}

/// Asks the owner, and keeps it informed.
pub(crate) struct Placement<N> {
    node: u64,
    domain: FailureDomain,
    owner: Arc<Owner>,
    peers: PeerClients<N>,
    snapshots: Snapshots,
    next: AtomicU64,
    live: Mutex<HashMap<PlacementId, Live>>,
    reports: mpsc::Sender<Report>,
    /// Grows when the connection to the owner was found dead, so that asks on it start anew.
    reconnects: watch::Sender<u64>,
    /// Tells control of an owner that does not answer.
    no_answer: mpsc::Sender<u64>,
}

impl<N: Network> Placement<N> {
    /// Starts the reports to the owner.
    pub(crate) fn spawn(spawner: &Spawner, parts: PlacementParts<N>) -> Arc<Self> {
        let (reports, reports_rx) = mpsc::channel(MAX_WAITING_REPORTS);
        let placement = Arc::new(Self {
            node: parts.node,
            domain: parts.domain,
            owner: parts.owner,
            peers: parts.peers,
            snapshots: parts.snapshots,
            next: AtomicU64::new(1),
            live: Mutex::default(),
            reports,
            reconnects: watch::Sender::new(0),
            no_answer: parts.no_answer,
        });
        spawner.spawn(run_reporter(Arc::clone(&placement), reports_rx));
        spawner.spawn(run_sync(Arc::clone(&placement)));
        placement
    }

    /// Waits for engines.
    ///
    /// # Errors
    /// The time after which to come back, where the stream is refused; it did not run.
    pub(crate) async fn place(self: &Arc<Self>, req: PlaceRequest) -> Result<Placed<N>, Duration> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = PlacementId {
            node: self.node,
            number,
        };
        self.lock().insert(id, Live::Waiting);
        // From here on the guard forgets the ask when it is dropped.
        let mut placed = Placed {
            placement: Arc::clone(self),
            id,
            service: Arc::clone(&req.service),
            lead: HostName::new(""),
            helpers: Vec::new(),
            helper_memory_tokens: 0,
            first_event_in: Duration::ZERO,
            is_ended: false,
        };
        let reply = self.ask_until_decided(id, &req).await;
        match reply {
            AskReply::Granted {
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
                let running = Live::Running {
                    service: req.service,
                    stream,
                    first_event_at: Instant::now() + first_event_in,
                };
                self.lock().insert(id, running);
                placed.lead = lead;
                placed.helpers = helpers;
                placed.helper_memory_tokens = helper_memory_tokens;
                placed.first_event_in = first_event_in;
                Ok(placed)
            }
            AskReply::Refused { retry_after } => Err(retry_after),
            AskReply::Unknown | AskReply::Moved { .. } => Err(RETRY_PAUSE),
        }
    }

    /// Asks whoever is the owner, anew after each change, until there is a decision.
    async fn ask_until_decided(&self, id: PlacementId, req: &PlaceRequest) -> AskReply {
        let mut owner = self.snapshots.subscribe_owner();
        let mut reconnects = self.reconnects.subscribe();
        let mut failing_since: Option<Instant> = None;
        loop {
            let now = Instant::now();
            if now >= req.deadline {
                return AskReply::Unknown;
            }
            let who = *owner.borrow_and_update();
            reconnects.mark_unchanged();
            if who == NO_OWNER {
                // The node has just started; soon it knows whom to ask.
                let left = req.deadline.saturating_duration_since(now);
                let _ = tokio::time::timeout(left, owner.changed()).await;
                continue;
            }
            let alone = failing_since.is_some_and(|at| now - at >= OWNER_PATIENCE);
            let reply = tokio::select! {
                reply = self.ask_once(who, id, req, alone) => reply,
                _ = owner.changed() => continue,
                _ = reconnects.changed() => continue,
            };
            match &reply {
                Some(AskReply::Unknown | AskReply::Moved { .. }) | None => {
                    if failing_since.is_none() {
                        tracing::info!(
                            part = "placement",
                            owner = who,
                            waited_ms = now.elapsed().as_millis() as u64,
                            answered = reply.is_some(),
                            "owner gave no decision"
                        );
                    }
                    let since = *failing_since.get_or_insert(now);
                    if now - since >= OWNER_PATIENCE / 2 {
                        self.suspect(who);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Some(reply) => return reply.clone(),
            }
        }
    }

    async fn ask_once(
        &self,
        who: u64,
        id: PlacementId,
        req: &PlaceRequest,
        alone: bool,
    ) -> Option<AskReply> {
        let now = Instant::now();
        let ask = AskMessage {
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
        };
        if who == self.node || alone {
            if alone {
                self.owner.sync(&self.sync_message());
            }
            return Some(self.owner.ask(ask).await);
        }
        let peer = self.snapshots.load().node(who)?.peer;
        match self.ask_peer(peer, ask.clone()).await? {
            AskReply::Moved { peer } => {
                let redirected = AskMessage {
                    is_redirected: true,
                    ..ask
                };
                self.ask_peer(peer, redirected).await
            }
            reply => Some(reply),
        }
    }

    async fn ask_peer(&self, peer: SocketAddr, ask: AskMessage) -> Option<AskReply> {
        let timeout = ask.time_left;
        let reply = self
            .peers
            .call(peer, timeout, async |client, cx| client.ask(cx, ask).await)
            .await;
        reply.ok()
    }

    /// All streams of this node.
    pub(super) fn sync_message(&self) -> SyncMessage {
        let now = Instant::now();
        let live = self.lock();
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        for (id, state) in live.iter() {
            match state {
                Live::Waiting => waiting.push(*id),
                Live::Running {
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
            up_to: self.next.load(Ordering::Relaxed).saturating_sub(1),
        }
    }

    /// Tells the owner what happened to a stream.
    pub(super) fn report(&self, id: PlacementId, service: &Arc<str>, kind: ReportKind) {
        let report = Report {
            id,
            service: service.to_string(),
            kind,
        };
        if self.is_owner() {
            self.owner.report(vec![report]);
            return;
        }
        if self.reports.try_send(report).is_err() {
            // The next sync tells the owner.
            tracing::warn!(part = "placement", "report dropped, queue full");
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

    /// Makes asks on the present connection to the owner start anew, and tells control of it.
    pub(super) fn on_no_answer(&self, owner: u64) {
        self.reconnects.send_modify(|n| *n += 1);
        self.suspect(owner);
    }

    /// Control passes over an owner that does not answer for a while.
    fn suspect(&self, owner: u64) {
        // A full channel holds the same news already.
        let _ = self.no_answer.try_send(owner);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<PlacementId, Live>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
