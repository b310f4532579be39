//! Targets that limit their rate, drain, or ask to back off, and which nodes have relayed it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::TargetSignals;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::callers::Shared;
use super::fleet::Fleet;
use crate::platform::{Answer, CallerError, CallerRequest, Signals, TargetHandle};

/// Signals that a target announces for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SignalFault {
    /// A rate limit, in requests per second.
    Limit(f64),
    /// It drains, then starts again under its name.
    Drains,
    /// It rejects requests with a back-off of that time.
    BacksOff(Duration),
}

impl SignalFault {
    pub(super) fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 | 1 => Self::Limit(rng.random_range(0.5..4.0)),
            2 => Self::Drains,
            _ => Self::BacksOff(Duration::from_millis(rng.random_range(800..4000))),
        }
    }

    /// Time for which the target announces it; a limit counts only after some seconds.
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

/// A target that announces a signal.
#[derive(Clone)]
pub(super) struct Signalled {
    /// Number of the target in the fleet.
    pub(super) number: usize,
    /// The start that announces it.
    pub(super) target: TargetHandle,
    pub(super) fault: SignalFault,
    pub(super) began: Instant,
    /// When it ended; `None` until then.
    pub(super) ended: Option<Instant>,
}

/// An answer with signals that a node has relayed.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) at: Instant,
    pub(super) node: SocketAddr,
    pub(super) target: String,
    pub(super) signals: TargetSignals,
}

/// What was struck by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Struck {
    Node(SocketAddr),
    Target(usize),
}

/// All that the checks at the end need.
#[derive(Default)]
pub(super) struct SignalLog(Mutex<Log>);

#[derive(Default)]
pub(super) struct Log {
    /// The node that each attempt was sent to.
    pub(super) nodes: HashMap<String, SocketAddr>,
    pub(super) told: Vec<Told>,
    pub(super) struck: Vec<(Instant, Struck)>,
    pub(super) signalled: Vec<Signalled>,
}

impl SignalLog {
    pub(super) fn on_sent(&self, node: SocketAddr, request: &CallerRequest) {
        self.lock().nodes.insert(request.attempt.clone(), node);
    }

    pub(super) fn on_answer(&self, node: SocketAddr, result: &Result<Answer, CallerError>) {
        let Ok(answer) = result else {
            return;
        };
        // The signature begins with the target's name.
        let target = answer
            .signature
            .as_deref()
            .and_then(|s| s.split('.').next());
        let Some(target) = target.filter(|_| answer.signals != TargetSignals::default()) else {
            return;
        };
        self.lock().told.push(Told {
            at: Instant::now(),
            node,
            target: target.to_owned(),
            signals: answer.signals,
        });
    }

    pub(super) fn on_struck(&self, what: Struck) {
        self.lock().struck.push((Instant::now(), what));
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a target announce a signal, unless it announces one already.
pub(super) fn begin_signals(fleet: &Fleet, shared: &Shared, number: usize, fault: SignalFault) {
    let target = target_of(fleet, number);
    let mut log = shared.signals.lock();
    let is_busy = log
        .signalled
        .iter()
        .any(|s| s.number == number && s.ended.is_none());
    if is_busy {
        return;
    }
    target.set_signals(fault.signals());
    log.signalled.push(Signalled {
        number,
        target,
        fault,
        began: Instant::now(),
        ended: None,
    });
}

/// Ends signals whose time is over; draining targets start again.
pub(super) async fn end_signals(fleet: &mut Fleet, shared: &Shared) {
    let now = Instant::now();
    let mut drained = Vec::new();
    for signalled in &mut shared.signals.lock().signalled {
        let is_over = signalled.began + signalled.fault.length() <= now;
        let has_ended = signalled.target.has_ended();
        if signalled.ended.is_some() || !(is_over || has_ended) {
            continue;
        }
        signalled.ended = Some(now);
        if signalled.fault == SignalFault::Drains && !has_ended {
            drained.push(signalled.number);
        }
        signalled.target.set_signals(Signals::default());
    }
    for number in drained {
        shared.disturb();
        if let Err(e) = fleet.restart_target(number).await {
            shared.broken(format!("target {number} did not start again: {e}"));
        }
    }
}

fn target_of(fleet: &Fleet, number: usize) -> TargetHandle {
    let platform = &fleet.platform;
    let mut all = platform.engines.iter().chain(&platform.plain);
    all.nth(number).expect("the fleet has the target").clone()
}
