//! The quarantine of this node.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, Quarantine, Standing, TargetLife};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::news::CrashNews;
use crate::metrics::Metrics;

/// The quarantine of this node, asked by traffic and told to other nodes by control.
pub(crate) struct SharedQuarantine {
    state: Mutex<Quarantine>,
    /// Requests that something is known of; with none of them nobody takes the lock.
    known: AtomicUsize,
    /// Grows with each request that goes into quarantine.
    changes: watch::Sender<u64>,
    /// What this node has seen itself, for control.
    seen: mpsc::Sender<CrashNews>,
    metrics: Metrics,
}

impl SharedQuarantine {
    /// An empty quarantine that tells control of all that this node sees itself.
    pub(crate) fn new(seen: mpsc::Sender<CrashNews>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            known: AtomicUsize::new(0),
            changes: watch::Sender::new(0),
            seen,
            metrics,
        })
    }

    /// How a request stands.
    pub(crate) fn standing(&self, request: Fingerprint) -> Standing {
        if self.known.load(Ordering::Relaxed) == 0 {
            return Standing::Clear;
        }
        self.lock().standing(Instant::now(), request)
    }

    /// The request, where a target has ended while it had it.
    pub(crate) fn suspect(&self, request: Fingerprint) -> Option<Fingerprint> {
        (self.standing(request) != Standing::Clear).then_some(request)
    }

    /// Waits until a request is in quarantine; for ever where it never is.
    pub(crate) async fn until_quarantined(&self, request: Fingerprint) {
        let mut changes = self.changes.subscribe();
        while !self.standing(request).is_quarantined() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Notes that this node saw a target end while it had a request.
    pub(crate) fn on_crash(&self, request: Fingerprint, target: &TargetEntry) {
        let crash = Crash {
            fingerprint: request,
            target: life_of(target),
        };
        let news = CrashNews::Crash(crash);
        if self.learn(news) {
            self.tell(news);
        }
    }

    /// Notes that this node saw a run of a request come to an end that its target survived.
    pub(crate) fn on_good_end(&self, request: Fingerprint) {
        if self.known.load(Ordering::Relaxed) == 0 {
            return;
        }
        let news = CrashNews::GoodEnd(request);
        if self.learn(news) {
            tracing::info!(part = "forward", fingerprint = %request, "request cleared");
            self.tell(news);
        }
    }

    /// Takes news, seen here or told by others; true where they were not known.
    pub(crate) fn learn(&self, news: CrashNews) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let is_new = match news {
            CrashNews::Crash(crash) => {
                let before = state.standing(now, crash.fingerprint);
                let is_new = state.on_crash(now, crash);
                let after = state.standing(now, crash.fingerprint);
                if !before.is_quarantined() && after.is_quarantined() {
                    self.on_quarantined(crash.fingerprint, &state);
                }
                is_new
            }
            CrashNews::GoodEnd(request) => state.on_good_end(now, request),
        };
        self.known.store(state.len(), Ordering::Relaxed);
        is_new
    }

    fn on_quarantined(&self, request: Fingerprint, state: &Quarantine) {
        self.metrics.quarantines.inc();
        tracing::warn!(
            part = "control",
            fingerprint = %request,
            crashes = state.crashes_of(request).len(),
            "request quarantined"
        );
        self.changes.send_modify(|n| *n += 1);
    }

    /// Crashes of one request that no good end has settled.
    pub(crate) fn crashes_of(&self, request: Fingerprint) -> Vec<Crash> {
        let state = self.lock();
        let crashes = state.crashes_of(request).iter();
        crashes
            .map(|target| Crash {
                fingerprint: request,
                target: *target,
            })
            .collect()
    }

    /// Crashes of all requests in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<Crash> {
        self.lock().quarantined(Instant::now()).collect()
    }

    /// Forgets what no longer matters.
    pub(crate) fn forget_old(&self) {
        let mut state = self.lock();
        state.forget_old(Instant::now());
        self.known.store(state.len(), Ordering::Relaxed);
    }

    fn tell(&self, news: CrashNews) {
        if self.seen.try_send(news).is_err() {
            tracing::warn!(part = "forward", ?news, "crash not told, queue full");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a target's start the same way on all nodes.
fn life_of(target: &TargetEntry) -> TargetLife {
    let text = format!("{}/{}", target.id, target.started.0);
    TargetLife(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}
