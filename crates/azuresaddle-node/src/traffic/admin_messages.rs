//! Messages of the operators' interface.

use azuresaddle_core::burn::BurnCounts;
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::{Explanation, RulesDocument};
use azuresaddle_sched::PoolDigest;
use serde::{Deserialize, Serialize};

/// A change of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PutRules {
    /// Version that the change is based on.
    pub base: RulesVersion,
    /// What the operator says of the change.
    #[serde(default)]
    pub comment: String,
    /// The new document.
    pub document: RulesDocument,
}

/// What the rules in force say of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExplainReply {
    /// Version of the rules.
    pub version: RulesVersion,
    /// What each rule says, in order.
    pub rules: Vec<Explanation>,
}

/// One host as a node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRow {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// `entry`, `engine` or `service`.
    pub kind: String,
    /// Whether the platform's list has it as leaving.
    pub leaving: bool,
    /// Whether a planned stop of it has begun.
    pub stopping: bool,
}

/// One pool as a node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: String,
    /// The owner, if any is known.
    pub owner: Option<HostName>,
    /// Fencing number of the ownership.
    pub epoch: Epoch,
    /// Number of targets.
    pub targets: usize,
    /// The latest digest, if any came.
    pub digest: Option<PoolDigest>,
}

/// Burn of all nodes that answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnReply {
    /// Merged counts.
    pub counts: BurnCounts,
    /// Nodes that did not answer, so that their requests are missing.
    pub missing: Vec<HostName>,
}
