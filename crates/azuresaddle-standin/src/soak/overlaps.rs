//! Silences of sound targets, overlapping with other faults that must not lose an answer.

use std::ops::Range;
use std::time::Duration;

use anyhow::Result;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use super::callers::SoakState;
use super::faults::end_stop;
use super::fleet::Fleet;
use super::proxy::ProxyMode;
use super::run::SoakOptions;
use super::signals::Affected;
use crate::platform::{ConfigurationSpec, RouteSpec, ServiceSpec, StandInPlatform};

/// Pause target of the routes, in milliseconds. Nodes ask other targets after six such pauses, so longer silences cover that
/// case.
const GAP_MS: u64 = 200;

/// Latency target of the routes, in milliseconds.
const TARGET_MS: u64 = 500;

/// Time without an event after which callers leave a stream: two seconds, four times the latency target or eight times the
/// pause, whichever is longest.
pub(super) const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Fixed number of extra retries of all nodes together: few, so that most requests must wait for the target that they were sent
/// to.
const RETRY_EXTRA: u32 = 10;

/// Shortest and longest silence.
const SILENCE_TIMES: Range<Duration> = Duration::from_millis(900)..Duration::from_millis(1400);

/// Share of the targets that become silent if not all of them do.
const SILENT_SHARE: f64 = 0.6;

/// Maximum number of side faults during a silence.
const MAX_SIDE_FAULTS: usize = 3;

/// Longest time from a side fault to the start of the silence.
const MAX_LEAD: Duration = Duration::from_millis(600);

/// Time without a silence after each one: longer than callers wait for an event, so that no request meets two silences.
const PAUSE_AFTER: Duration = Duration::from_millis(2200);

/// Service to which [`SideFault::SplitRoute`] moves a part of a route.
const PART_SERVICE: &str = "llm-part";

/// A fault that overlaps with a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideFault {
    /// The idle timeout changes to this many milliseconds.
    IdleTimeout(u64),
    /// The timeout of all routes changes to this many milliseconds.
    RouteTimeout(u64),
    /// A part of a route moves to another service, or back.
    SplitRoute,
    /// The node with this number reloads its settings.
    Reload(usize),
    /// The node with this number is told to stop.
    Stop(usize),
}

/// Starts the nodes on a platform that suits these faults.
pub(super) async fn open_fleet(options: &SoakOptions) -> Result<Fleet> {
    let mut platform = StandInPlatform::open(options.fleet.platform).await?;
    platform.retry_extra = RETRY_EXTRA;
    platform.change_configuration(|c| {
        for route in &mut c.routes {
            route.gap_ms = GAP_MS;
            route.target_ms = TARGET_MS;
        }
    });
    Fleet::open_on(
        platform,
        &options.program,
        &options.dir,
        options.fleet.nodes,
    )
    .await
}

/// Silences all or most targets while side faults happen, and waits until all of them are over.
pub(super) async fn inject_overlap(fleet: &mut Fleet, shared: &SoakState, rng: &mut StdRng) {
    let length = rng.random_range(SILENCE_TIMES);
    let silent = random_targets(fleet, rng);
    let series = random_series(fleet, rng, length).await;
    shared.record_fault(format!(
        "{} targets are silent for {length:?} after {MAX_LEAD:?}; beside it {series:?}",
        silent.len()
    ));
    let start = Instant::now();
    let proxies = fleet.target_proxies.clone();
    let silence = async {
        tokio::time::sleep_until(start + MAX_LEAD).await;
        for n in &silent {
            proxies[*n].set_mode(ProxyMode::Paused);
        }
        tokio::time::sleep(length).await;
        for n in &silent {
            proxies[*n].set_mode(ProxyMode::Pass);
        }
    };
    let others = async {
        for (at, fault) in &series {
            tokio::time::sleep_until(start + *at).await;
            inject_side_fault(fleet, shared, *fault);
        }
    };
    tokio::join!(silence, others);
    for (_, fault) in series {
        if let SideFault::Stop(n) = fault {
            end_stop(fleet, shared, n).await;
        }
    }
    tokio::time::sleep(PAUSE_AFTER).await;
}

/// Chooses the numbers of the targets that become silent: all of them, or most.
fn random_targets(fleet: &Fleet, rng: &mut StdRng) -> Vec<usize> {
    let mut targets: Vec<usize> = (0..fleet.target_proxies.len()).collect();
    if rng.random_bool(0.5) {
        targets.shuffle(rng);
        targets.truncate((targets.len() as f64 * SILENT_SHARE).ceil() as usize);
    }
    targets
}

/// Chooses side faults, with their times since [`MAX_LEAD`] before the silence, in order. At most one of them stops a node.
async fn random_series(
    fleet: &Fleet,
    rng: &mut StdRng,
    silence: Duration,
) -> Vec<(Duration, SideFault)> {
    let owner = fleet.owner().await.unwrap_or(0);
    let count = rng.random_range(1..=MAX_SIDE_FAULTS);
    let mut series = Vec::new();
    let mut has_stop = false;
    for _ in 0..count {
        let fault = random_side_fault(fleet, rng, owner);
        let is_stop = matches!(fault, SideFault::Stop(_));
        if is_stop && has_stop {
            continue;
        }
        has_stop |= is_stop;
        let at = (MAX_LEAD + silence).mul_f64(rng.random_range(0.0..1.0));
        series.push((at, fault));
    }
    series.sort_by_key(|(at, _)| *at);
    series
}

fn random_side_fault(fleet: &Fleet, rng: &mut StdRng, owner: usize) -> SideFault {
    let node = rng.random_range(0..fleet.nodes.len());
    match rng.random_range(0..8) {
        0 => SideFault::IdleTimeout(rng.random_range(3000..5000)),
        1 => SideFault::RouteTimeout(rng.random_range(7000..9000)),
        2 | 3 => SideFault::SplitRoute,
        4 => SideFault::Reload(node),
        5 | 6 => SideFault::Stop(owner),
        _ => SideFault::Stop(node),
    }
}

fn inject_side_fault(fleet: &mut Fleet, shared: &SoakState, fault: SideFault) {
    match fault {
        SideFault::IdleTimeout(ms) => fleet
            .platform
            .change_configuration(|c| c.idle_timeout_ms = ms),
        SideFault::RouteTimeout(ms) => fleet
            .platform
            .change_configuration(|c| c.routes.iter_mut().for_each(|r| r.timeout_ms = ms)),
        SideFault::SplitRoute => fleet.platform.change_configuration(split_or_join_route),
        SideFault::Reload(n) => fleet.nodes[n].signal(Signal::SIGHUP),
        SideFault::Stop(n) => {
            let node = fleet.nodes[n].callers_addr();
            shared.note_stop(node);
            shared.signals.on_affected(Affected::Node(node));
            fleet.nodes[n].signal(Signal::SIGTERM);
        }
    }
}

/// Moves an unused part of the first route to another service, or back.
fn split_or_join_route(c: &mut ConfigurationSpec) {
    let first = &c.routes[0];
    let part = RouteSpec {
        prefix: format!("{}part/", first.prefix),
        service: PART_SERVICE.to_owned(),
        ..first.clone()
    };
    if c.routes.iter().any(|r| r.prefix == part.prefix) {
        c.routes.retain(|r| r.prefix != part.prefix);
        return;
    }
    if c.services.iter().all(|s| s.name != PART_SERVICE) {
        c.services.push(ServiceSpec {
            name: PART_SERVICE.to_owned(),
            is_engine: true,
            cold_rate: 0.0,
        });
    }
    c.routes.push(part);
}
