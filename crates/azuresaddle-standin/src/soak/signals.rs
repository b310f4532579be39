//! Makes targets limit their rate, drain or ask to back off, and records which nodes relayed these signals.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::TargetSignals;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::callers::SoakState;
use super::fleet::Fleet;
use crate::platform::{Answer, CallerError, CallerRequest, Signals, TargetHandle};

/// A signal that a target announces for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SignalFault {
    /// A rate limit, in requests per second.
    Limit(f64),
    /// The target drains, then restarts under the same name.
    Drains,
    /// The target rejects requests with a back-off of this time.
    BacksOff(Duration),
}

impl SignalFault {
    pub(super) fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 | 1 => Self::Limit(rng.random_range(0.5..4.0)),
            2 => Self::Drains,
            _ => Self::BacksOff(Duration::from_millis(rng.random_range(800..4000))),
        }
    }

    /// Time for which the target announces the signal; longer for a limit, as it is checked only after some
    /// seconds.
    fn length(self) -> Duration {
        match self {
            Self::Limit(_) => Duration::from_secs(9),
            Self::Drains | Self::BacksOff(_) => Duration::from_secs(5),
        }
    }

    fn signals(self) -> Signals {
        let mut signals = Signals::default();
        match self {
            Self::Limit(rate) => signals.rate_limit = Some(rate),
            Self::Drains => signals.is_draining = true,
            Self::BacksOff(time) => signals.back_off = Some(time),
        }
        signals
    }
}

/// A signal that a target announces.
#[derive(Clone)]
pub(super) struct Announcement {
    /// Number of the target in the fleet.
    pub(super) number: usize,
    /// The target that announces it, up to its next restart.
    pub(super) target: TargetHandle,
    pub(super) fault: SignalFault,
    pub(super) began: Instant,
    /// Time at which it ended; `None` until then.
    pub(super) ended: Option<Instant>,
}

/// An answer with signals that a node has relayed.
#[derive(Clone, Debug)]
pub(super) struct RelayedSignals {
    pub(super) at: Instant,
    pub(super) node: SocketAddr,
    pub(super) target: String,
    pub(super) signals: TargetSignals,
}

/// The node or target affected by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Affected {
    Node(SocketAddr),
    Target(usize),
}

/// Events of a soak that the final checks of the signals need.
#[derive(Default)]
pub(super) struct SignalLog(Mutex<SignalRecords>);

#[derive(Default)]
pub(super) struct SignalRecords {
    /// The node that each attempt was sent to.
    pub(super) nodes: HashMap<String, SocketAddr>,
    pub(super) relayed: Vec<RelayedSignals>,
    pub(super) affected: Vec<(Instant, Affected)>,
    pub(super) announcements: Vec<Announcement>,
}

impl SignalLog {
    pub(super) fn on_sent(&self, node: SocketAddr, request: &CallerRequest) {
        self.lock().nodes.insert(request.attempt.clone(), node);
    }

    pub(super) fn on_answer(&self, node: SocketAddr, result: &Result<Answer, CallerError>) {
        let Ok(answer) = result else {
            return;
        };
        // The signature begins with the target's id.
        let target = answer
            .signature
            .as_deref()
            .and_then(|s| s.split('.').next());
        let Some(target) = target.filter(|_| answer.signals != TargetSignals::default()) else {
            return;
        };
        self.lock().relayed.push(RelayedSignals {
            at: Instant::now(),
            node,
            target: target.to_owned(),
            signals: answer.signals,
        });
    }

    pub(super) fn on_affected(&self, what: Affected) {
        self.lock().affected.push((Instant::now(), what));
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SignalRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a target announce a signal, unless it already announces one.
pub(super) fn begin_signals(fleet: &Fleet, shared: &SoakState, number: usize, fault: SignalFault) {
    let target = target_of(fleet, number);
    let mut log = shared.signals.lock();
    let is_announcing = log
        .announcements
        .iter()
        .any(|s| s.number == number && s.ended.is_none());
    if is_announcing {
        return;
    }
    target.set_signals(fault.signals());
    log.announcements.push(Announcement {
        number,
        target,
        fault,
        began: Instant::now(),
        ended: None,
    });
}

/// Ends signals whose time is over or whose target has stopped; restarts targets that drained.
pub(super) async fn end_signals(fleet: &mut Fleet, shared: &SoakState) {
    let now = Instant::now();
    let mut drained = Vec::new();
    for announcement in &mut shared.signals.lock().announcements {
        let is_over = announcement.began + announcement.fault.length() <= now;
        let has_ended = announcement.target.has_ended();
        if announcement.ended.is_some() || !(is_over || has_ended) {
            continue;
        }
        announcement.ended = Some(now);
        if announcement.fault == SignalFault::Drains && !has_ended {
            drained.push(announcement.number);
        }
        announcement.target.set_signals(Signals::default());
    }
    for number in drained {
        shared.note_disruption();
        if let Err(e) = fleet.restart_target(number).await {
            shared.report_violation(format!("target {number} did not restart: {e}"));
        }
    }
}

fn target_of(fleet: &Fleet, number: usize) -> TargetHandle {
    let platform = &fleet.platform;
    let mut all = platform.engines.iter().chain(&platform.plain);
    all.nth(number).expect("the fleet has the target").clone()
}
