//! Health of plain targets, from what all nodes of the fleet observe.
//!
//! Load pattern: a target stops answering for seconds while every node sends to it. Each node sends a target only a few
//! requests a second, so a node that counts only its own failures detects the fault after callers of most nodes have met
//! it. Here the nodes exchange their counts, each one applies the same rules to them, and a failing target is ejected
//! on all nodes after three failures in the whole fleet. One node then probes it until it accepts connections again.

mod counts;
mod ejection;
mod evidence;
mod fleet_health;
mod prober;
mod record;
mod reported;
mod update;
mod verdict;

pub use counts::{SendCounts, SendOutcome};
pub use ejection::{EjectionEvidence, EjectionScope};
pub use fleet_health::FleetHealth;
pub use reported::EjectedTarget;
pub use update::{HealthBucket, HealthKey, HealthUpdate, Observer, ProbeReport, ProbeStage};
pub use verdict::{TargetVerdict, TargetVerdicts, VerdictChange};
