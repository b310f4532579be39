//! Who places on which engines, in virtual days of a large fleet.

use std::str::FromStr;

/// How the engines are shared among nodes that place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolLayout {
    /// One node places on all engines.
    Single,
    /// As many pools of engines, each with a node that places there; a request goes to the better of
    /// two pools, a long prompt to the one with most room, by loads that are a little old.
    Count(usize),
    /// A pool a failure domain; a request goes to its own unless that has much less room.
    PerDomain,
}

impl PoolLayout {
    /// Pools over all engines of a deployment with as many failure domains.
    pub(super) fn pool_count(self, domains: usize) -> usize {
        match self {
            Self::Single => 1,
            Self::Count(count) => count,
            Self::PerDomain => domains,
        }
    }

    /// The pool of an engine.
    pub(super) fn pool_of(self, engine: usize, domains: usize) -> usize {
        engine % self.pool_count(domains)
    }
}

impl FromStr for PoolLayout {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "one" => Ok(Self::Single),
            "domains" => Ok(Self::PerDomain),
            _ => text
                .strip_prefix("pools-")
                .and_then(|n| n.parse().ok())
                .filter(|n| *n > 0)
                .map(Self::Count)
                .ok_or_else(|| format!("unknown placers {text:?}; one, domains or pools-N")),
        }
    }
}
