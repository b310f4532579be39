//! An ejected target, as listed for operators.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{EjectedTarget, EjectionEvidence};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A plain target that the fleet has ejected, with the evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectedTargetInfo {
    /// Name of the target.
    pub target: HostName,
    /// Whether the node that lists it sends to it.
    pub is_used_here: bool,
    /// Whether a probe has succeeded, so that the prober sends to it.
    pub is_on_trial: bool,
    /// Time since the ejection, in milliseconds.
    pub ejected_for_ms: u64,
    /// Failed probes since the ejection.
    pub failed_probes: u32,
    /// The evidence; without sends if the node knows the ejection only from the prober.
    pub evidence: EjectionEvidence,
}

impl EjectedTargetInfo {
    pub(crate) fn new(now: Instant, ejected: &EjectedTarget) -> Self {
        let ejected_for = now.saturating_duration_since(ejected.since);
        Self {
            target: ejected.target.clone(),
            is_used_here: ejected.is_used_here,
            is_on_trial: ejected.is_on_trial,
            ejected_for_ms: ejected_for.as_millis() as u64,
            failed_probes: ejected.failed_probes,
            evidence: ejected.evidence,
        }
    }
}
