//! Messages of the operators' interface.

use azuresaddle_core::burn::BurnCounts;
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::{Explanation, RulesDocument};
use azuresaddle_sched::PoolDigest;
use serde::{Deserialize, Serialize};

/// Request to replace the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PutRules {
    /// Version that the change is based on; a different stored version is a conflict.
    pub base: RulesVersion,
    /// The operator's comment on the change.
    #[serde(default)]
    pub comment: String,
    /// The new document.
    pub document: RulesDocument,
}

/// How the current rules match a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExplainReply {
    /// Version of the rules.
    pub version: RulesVersion,
    /// The outcome of each rule, in order.
    pub rules: Vec<Explanation>,
}

/// One host in the view of the answering node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRow {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// `entry`, `engine` or `service`.
    pub kind: String,
    /// Whether the platform's host list marks it as leaving.
    pub leaving: bool,
    /// Whether a planned stop of the host has begun.
    pub stopping: bool,
}

/// One pool in the view of the answering node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: String,
    /// The owner, if any is known.
    pub owner: Option<HostName>,
    /// Epoch of the ownership, used as fencing number.
    pub epoch: Epoch,
    /// Number of targets.
    pub targets: usize,
    /// The latest digest, if one was received.
    pub digest: Option<PoolDigest>,
}

/// Error-budget burn of all nodes that answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnReply {
    /// Service-level counts, merged over the nodes.
    pub counts: BurnCounts,
    /// Nodes that did not answer; their requests are not counted.
    pub missing: Vec<HostName>,
}
