//! Who places on which engines, in virtual days of a large fleet.

use std::str::FromStr;

/// How the engines are shared among nodes that place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placers {
    /// One node places on all engines.
    One,
    /// As many pools of engines, each with a node that places there; a request goes to the better of
    /// two pools, a long prompt to the one with most room, by loads that are a little old.
    Pools(usize),
    /// A pool a failure domain; a request goes to its own unless that has much less room.
    Domains,
}

impl Placers {
    /// Pools over all engines of a deployment with as many failure domains.
    pub(super) fn pools(self, domains: usize) -> usize {
        match self {
            Self::One => 1,
            Self::Pools(count) => count,
            Self::Domains => domains,
        }
    }

    /// The pool of an engine.
    pub(super) fn pool_of(self, engine: usize, domains: usize) -> usize {
        engine % self.pools(domains)
    }
}

impl FromStr for Placers {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "one" => Ok(Self::One),
            "domains" => Ok(Self::Domains),
            _ => text
                .strip_prefix("pools-")
                .and_then(|n| n.parse().ok())
                .filter(|n| *n > 0)
                .map(Self::Pools)
                .ok_or_else(|| format!("unknown placers {text:?}; one, domains or pools-N")),
        }
    }
}
