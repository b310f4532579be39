//! Identifier of a pool.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, Model};

/// Identifies a pool: targets that serve one model in one failure domain, scheduled together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolId {
    /// The model that the targets serve.
    pub model: Model,
    /// The failure domain that the targets are in.
    pub domain: FailureDomain,
    /// Shard number, for a model with more targets in the domain than one pool takes.
    pub shard: u16,
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.model, self.domain, self.shard)
    }
}
