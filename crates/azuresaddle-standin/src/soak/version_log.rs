//! The versions of the configuration that a soak has written, and what each of them allows.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::platform::ConfigurationSpec;

/// Number of latest changes of which one is asked about.
const RECENT_CHANGES: usize = 8;

/// A route and a key that a change adds, moves or removes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) prefix: String,
    pub(super) key: String,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Runs,
    /// The route or the key does not exist.
    IsRefused,
    /// Its service has no targets.
    HasNoTarget,
}

impl Outcome {
    /// What an answer tells of the version by which it was given; `None` if it tells nothing.
    pub(super) fn of(status: StatusCode) -> Option<Self> {
        match status {
            status if status.is_success() => Some(Self::Runs),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND => {
                Some(Self::IsRefused)
            }
            _ => None,
        }
    }
}

/// A version of the configuration.
pub(super) struct Version {
    pub(super) number: u64,
    /// When the store acknowledged it.
    pub(super) acknowledged: Instant,
    /// Service of each route, by prefix.
    routes: BTreeMap<String, String>,
    keys: Vec<String>,
    changed: Probe,
}

impl Version {
    /// A version that the store acknowledges now.
    pub(super) fn new(configuration: &ConfigurationSpec, changed: Probe) -> Self {
        let routes = configuration.routes.iter();
        let accounts = configuration.accounts.iter();
        Self {
            number: configuration.version,
            acknowledged: Instant::now(),
            routes: routes
                .map(|r| (r.prefix.clone(), r.service.clone()))
                .collect(),
            keys: accounts.flat_map(|a| a.keys.iter().cloned()).collect(),
            changed,
        }
    }

    fn outcome(&self, probe: &Probe, empty_service: &str) -> Outcome {
        let service = self.routes.get(&probe.prefix);
        match service {
            Some(_) if !self.keys.contains(&probe.key) => Outcome::IsRefused,
            Some(service) if service == empty_service => Outcome::HasNoTarget,
            Some(_) => Outcome::Runs,
            None => Outcome::IsRefused,
        }
    }
}

/// All versions of a soak, in order.
pub(super) struct VersionLog {
    versions: Mutex<Vec<Version>>,
    /// Name of a service without targets.
    empty_service: String,
}

/// The versions that allow what a node has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Allowing {
    /// First one since a given one; places in the log.
    pub(super) first: Option<usize>,
    /// Latest one.
    pub(super) last: Option<usize>,
}

impl VersionLog {
    pub(super) fn new(first: Version, empty_service: &str) -> Self {
        Self {
            versions: Mutex::new(vec![first]),
            empty_service: empty_service.to_owned(),
        }
    }

    pub(super) fn push(&self, version: Version) {
        self.lock().push(version);
    }

    /// Chooses one of the latest changes: often the last one.
    pub(super) fn random_probe(&self, rng: &mut StdRng) -> Probe {
        let versions = self.lock();
        let age = if rng.random_bool(0.5) {
            0
        } else {
            rng.random_range(0..RECENT_CHANGES.min(versions.len()))
        };
        versions[versions.len() - 1 - age].changed.clone()
    }

    /// Returns the place of the latest version that was acknowledged a given time before `at`.
    pub(super) fn acknowledged_before(&self, at: Instant, bound: Duration) -> usize {
        let versions = self.lock();
        let is_due = |v: &Version| v.acknowledged + bound < at;
        versions.iter().rposition(is_due).unwrap_or(0)
    }

    /// Returns which versions allow an outcome.
    pub(super) fn allowing(&self, probe: &Probe, outcome: Outcome, since: usize) -> Allowing {
        let versions = self.lock();
        let allows = |v: &Version| v.outcome(probe, &self.empty_service) == outcome;
        let first = versions.iter().skip(since).position(allows);
        Allowing {
            first: first.map(|n| since + n),
            last: versions.iter().rposition(allows),
        }
    }

    /// Returns the number of a version and how long before `at` it was acknowledged.
    pub(super) fn age(&self, place: usize, at: Instant) -> (u64, Duration) {
        let version = &self.lock()[place];
        (
            version.number,
            at.saturating_duration_since(version.acknowledged),
        )
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
