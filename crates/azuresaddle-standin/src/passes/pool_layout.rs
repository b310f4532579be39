//! Division of the engines into pools, for simulations of a large fleet.

use std::str::FromStr;

/// How the engines are divided into pools. Each pool is owned by a node that places its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolLayout {
    /// One pool with all engines.
    Single,
    /// This many pools. A request goes to the less loaded of two random pools, a long prompt to the
    /// least loaded of all, by published loads that are slightly out of date.
    Count(usize),
    /// One pool per failure domain. A request goes to the pool of its own domain unless that is much
    /// more loaded than the best one.
    PerDomain,
}

impl PoolLayout {
    /// Number of pools in a deployment with `domains` failure domains.
    pub(super) fn pool_count(self, domains: usize) -> usize {
        match self {
            Self::Single => 1,
            Self::Count(count) => count,
            Self::PerDomain => domains,
        }
    }

    /// Index of the pool that an engine belongs to.
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
