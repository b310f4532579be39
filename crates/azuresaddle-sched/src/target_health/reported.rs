//! Ejected targets with their evidence, for operators.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::ejection::EjectionEvidence;

/// An ejected target with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedTarget {
    /// The target.
    pub target: HostName,
    /// Whether this node sends to it: it is on trial here, is ejected only elsewhere, or too many targets of the service
    /// have failed to eject all of them.
    pub is_used_here: bool,
    /// Whether a probe has succeeded, so that the prober sends to it.
    pub is_on_trial: bool,
    /// When it was ejected.
    pub since: Instant,
    /// Failed probes since the ejection.
    pub failed_probes: u32,
    /// The evidence; without sends if this node knows the ejection only from the prober.
    pub evidence: EjectionEvidence,
}
