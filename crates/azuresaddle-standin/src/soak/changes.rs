//! Changes the configuration during a soak.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::callers::SoakState;
use super::version_log::{Probe, Version, VersionLog};
use crate::platform::{ConfigurationSpec, ConfigurationWriter, RouteSpec, ServiceSpec};

/// Service without targets, to which routes are moved.
const EMPTY_SERVICE: &str = "no-targets";

/// Prefix of the routes and keys that are added.
const ADDED: &str = "added-";

/// Number of added routes, and of added keys, from which on one is removed before the next is added.
const MAX_ADDED: usize = 4;

/// Longest pause between two changes.
const MAX_PAUSE: Duration = Duration::from_millis(3000);

/// Share of changes that follow the last one at once.
const SERIES_SHARE: f64 = 0.3;

/// A route and a key that all versions have.
const LASTING_ROUTE: &str = "/note/";
const LASTING_KEY: &str = "key-1";

/// Adds the service to which routes are moved, and returns the log of the versions.
pub(super) fn open_version_log(writer: &mut ConfigurationWriter) -> VersionLog {
    writer.change(|c| {
        c.services.push(ServiceSpec {
            name: EMPTY_SERVICE.to_owned(),
            is_engine: false,
            cold_rate: 0.0,
        });
    });
    let lasting = probe(LASTING_ROUTE, LASTING_KEY);
    VersionLog::new(Version::new(&writer.configuration, lasting), EMPTY_SERVICE)
}

/// Changes the configuration until the soak is stopped; returns the last one.
pub(super) async fn run_changes(
    shared: Arc<SoakState>,
    log: Arc<VersionLog>,
    mut writer: ConfigurationWriter,
    seed: u64,
) -> ConfigurationSpec {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.stopped.is_cancelled() {
        if !rng.random_bool(SERIES_SHARE) {
            tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
        }
        number += 1;
        let mut changed = None;
        writer.change(|c| changed = Some(random_change(c, &mut rng, number)));
        if let Some(changed) = changed {
            log.push(Version::new(&writer.configuration, changed));
            shared.count("changes of the configuration");
        }
    }
    writer.configuration
}

/// Adds, moves or removes a route, or adds or removes a key.
fn random_change(c: &mut ConfigurationSpec, rng: &mut StdRng, number: u64) -> Probe {
    if rng.random_bool(0.3) {
        change_keys(c, rng, number)
    } else {
        change_routes(c, rng, number)
    }
}

fn change_keys(c: &mut ConfigurationSpec, rng: &mut StdRng, number: u64) -> Probe {
    let keys = &mut c.accounts[0].keys;
    let added: Vec<String> = keys
        .iter()
        .filter(|k| k.starts_with(ADDED))
        .cloned()
        .collect();
    let removed = added.choose(rng).filter(|_| added.len() >= MAX_ADDED);
    if let Some(key) = removed {
        keys.retain(|k| k != key);
        return probe(LASTING_ROUTE, key);
    }
    let key = format!("{ADDED}{number}");
    keys.push(key.clone());
    probe(LASTING_ROUTE, &key)
}

fn change_routes(c: &mut ConfigurationSpec, rng: &mut StdRng, number: u64) -> Probe {
    let is_added = |r: &RouteSpec| r.prefix.starts_with(&format!("/{ADDED}"));
    let routes = c.routes.iter().filter(|r| is_added(r));
    let added: Vec<String> = routes.map(|r| r.prefix.clone()).collect();
    let Some(prefix) = added.choose(rng).filter(|_| added.len() >= MAX_ADDED) else {
        let lasting = c.routes.iter().find(|r| r.prefix == LASTING_ROUTE);
        let mut route = lasting.expect("all versions have it").clone();
        route.prefix = format!("/{ADDED}{number}/");
        let probe = probe(&route.prefix, LASTING_KEY);
        c.routes.push(route);
        return probe;
    };
    let moved = c.routes.iter_mut().find(|r| r.prefix == *prefix);
    match moved.filter(|r| r.service != EMPTY_SERVICE && rng.random_bool(0.4)) {
        Some(route) => EMPTY_SERVICE.clone_into(&mut route.service),
        None => c.routes.retain(|r| r.prefix != *prefix),
    }
    probe(prefix, LASTING_KEY)
}

fn probe(prefix: &str, key: &str) -> Probe {
    Probe {
        prefix: prefix.to_owned(),
        key: key.to_owned(),
    }
}
