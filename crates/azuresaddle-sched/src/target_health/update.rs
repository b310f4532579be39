//! What nodes exchange about the health of targets.

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::counts::SendCounts;
use super::ejection::EjectionScope;

/// A node that observes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observer {
    /// Incarnation of the node.
    pub node: u64,
    /// Hash of the name of its failure domain.
    pub domain: u16,
}

/// Identifies the observation of one target by one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HealthKey {
    /// The target.
    pub target: HostName,
    /// Incarnation of the node.
    pub node: u64,
}

/// Sends of a node to a target that ended within one interval of 250 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthBucket {
    /// Number of the interval, counted by the node. Counts of the same interval replace earlier ones.
    pub index: u32,
    /// Time since the interval began, in milliseconds. An age rather than a time, since clocks of nodes differ.
    pub age_ms: u16,
    /// Sends in the interval.
    pub counts: SendCounts,
}

/// Result of a probe and of the trial that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeStage {
    /// No connection could be opened, or the trial failed.
    Failed,
    /// A connection was opened; the prober may send requests.
    OnTrial,
    /// The target answered a request of the prober.
    Answered,
}

/// What the prober of an ejected target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// Number of the report among those of the node.
    pub sequence: u32,
    /// The result.
    pub stage: ProbeStage,
    /// Number of failed probes of this ejection.
    pub failed_probes: u32,
    /// For which nodes the target is ejected.
    pub scope: EjectionScope,
    /// Time since the result, in milliseconds.
    pub age_ms: u16,
}

/// Observation of one target by one node over the last two seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// The node that observed the target.
    pub observer: Observer,
    /// The target.
    pub target: HostName,
    /// The start of the target that was observed.
    pub started: TargetStart,
    /// Sends by interval; intervals without sends are left out.
    pub buckets: Vec<HealthBucket>,
    /// Latest result of the node's probes, if it is the prober.
    pub report: Option<ProbeReport>,
}

impl HealthUpdate {
    /// The key of the observation.
    pub fn key(&self) -> HealthKey {
        HealthKey {
            target: self.target.clone(),
            node: self.observer.node,
        }
    }
}
