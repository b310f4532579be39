//! An ejected target and the schedule of its probes.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::update::Observer;

/// Delays from the ejection to the first probe, and then between probes; the last one repeats. Most outages end within
/// the first second or last for several.
const PROBE_INTERVALS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Nodes for which a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EjectionScope {
    /// All nodes.
    Fleet,
    /// The nodes of one failure domain, by the hash of its name.
    Domain(u16),
}

impl EjectionScope {
    /// Whether the target is ejected for a node.
    pub fn covers(self, observer: Observer) -> bool {
        match self {
            Self::Fleet => true,
            Self::Domain(domain) => observer.domain == domain,
        }
    }
}

impl fmt::Display for EjectionScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("all nodes"),
            Self::Domain(domain) => write!(f, "domain {domain:04x}"),
        }
    }
}

/// Evidence on which a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionEvidence {
    /// Sends since the first failure.
    pub sends: u32,
    /// Sends without a connection or without an answer.
    pub failures: u32,
    /// Nodes that saw a failure.
    pub nodes: u32,
    /// For which nodes the target is ejected.
    pub scope: EjectionScope,
}

impl EjectionEvidence {
    /// Evidence of an ejection that this node knows only from the prober.
    pub(super) fn reported(scope: EjectionScope) -> Self {
        Self {
            sends: 0,
            failures: 0,
            nodes: 0,
            scope,
        }
    }
}

/// The time in which only the prober sends to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Trial {
    pub(super) prober: u64,
    pub(super) until: Instant,
}

/// An ejected target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) evidence: EjectionEvidence,
    pub(super) since: Instant,
    pub(super) failed_probes: u32,
    pub(super) probe_at: Instant,
    /// When this node probes, unless another one has reported by then; `None` if it is not among the probers.
    pub(super) own_probe_at: Option<Instant>,
    /// When this node's running probe began.
    pub(super) probing_since: Option<Instant>,
    pub(super) trial: Option<Trial>,
}

impl Ejection {
    /// Ejects a target at the time `now`, after probes of an earlier ejection that ended without an answer failed.
    pub(super) fn new(now: Instant, evidence: EjectionEvidence, failed_probes: u32) -> Self {
        Self {
            evidence,
            since: now,
            failed_probes,
            probe_at: now + probe_interval(failed_probes),
            own_probe_at: None,
            probing_since: None,
            trial: None,
        }
    }

    /// Schedules the next probe after one that began at the time `began_at` and failed.
    pub(super) fn on_probe_failed(&mut self, began_at: Instant, failed_probes: u32) {
        self.failed_probes = failed_probes;
        self.probe_at = began_at + probe_interval(failed_probes);
        self.probing_since = None;
        self.trial = None;
    }

    /// Starts the trial of the prober.
    pub(super) fn start_trial(&mut self, prober: u64, until: Instant) {
        self.probing_since = None;
        self.trial = Some(Trial { prober, until });
    }

    /// Whether this node is to probe now.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        self.is_waiting() && self.own_probe_at.is_some_and(|at| at <= now)
    }

    /// Whether neither a probe of this node nor a trial is running.
    pub(super) fn is_waiting(&self) -> bool {
        self.probing_since.is_none() && self.trial.is_none()
    }
}

fn probe_interval(failed_probes: u32) -> Duration {
    let last = PROBE_INTERVALS.len() - 1;
    PROBE_INTERVALS[(failed_probes as usize).min(last)]
}
