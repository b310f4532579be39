//! Injects faults into nodes, targets and the store, one after the other and overlapping.

use std::ops::Range;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;

use super::callers::SoakState;
use super::disturbances::Disturbed;
use super::fleet::Fleet;
use super::proxy::ProxyMode;
use super::signals::{Affected, SignalFault, begin_signals};
use crate::platform::{REWRITE_TIME, StoreFault, StoreRollback, TargetFault};

/// Maximum duration of a fault.
const MAX_FAULT_TIME: Duration = Duration::from_millis(1800);

/// Maximum time of a graceful stop: the grace period in the nodes' settings plus a margin.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_millis(4600);

/// A fault with the number of the node or target that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill(usize),
    Stop(usize),
    Freeze(usize),
    Store(StoreFault),
    StoreCut(usize, ProxyMode),
    Compact,
    TargetCut(usize, ProxyMode),
    Target(usize, TargetFault),
    Configuration,
    /// A target restarts under the same name.
    RestartTarget(usize),
    /// A target announces a signal with each answer.
    Signals(usize, SignalFault),
    /// The store is rolled back to an older copy, once or twice in a row.
    StoreRollback(StoreRollback, usize),
    /// Links to several plain targets are silent at the same time; their number.
    SilentTargets(usize),
    /// All targets are silent for a while, then go on.
    PausedTargets,
    /// The open connections of a node to the store become silent; those of all nodes without a number.
    SilentStoreConnections(Option<usize>),
}

/// Additional kinds of faults, injected only if they are enabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultOptions {
    /// Whether targets are also restarted under the same names.
    pub has_restarts: bool,
    /// Whether the store is also rolled back to older copies.
    pub has_store_rollbacks: bool,
    /// Whether targets also limit their rate, drain or ask nodes to back off.
    pub has_signals: bool,
    /// Number of plain targets that also become silent at the same time; 0 for none.
    pub silent_targets: usize,
    /// Whether only faults are injected that must not lose an answer, also when they overlap with the load: stops, sound
    /// targets that are silent for a while, configuration changes and a store that does not answer.
    pub loses_nothing: bool,
    /// Whether all faults are silences of sound targets, overlapping with other faults that must not lose an answer.
    pub overlaps: bool,
    /// Whether another task changes the configuration, and each node must follow each change; the open connections to the
    /// store also become silent.
    pub has_changes: bool,
    /// Whether another writer leaves odd entries among those of the targets.
    pub has_odd_entries: bool,
}

/// Shortest and longest silence of all targets in [`Fault::PausedTargets`].
const PAUSE_TIMES: Range<Duration> = Duration::from_millis(900)..Duration::from_millis(1400);

/// Returns a random fault that must not lose an answer.
fn random_harmless_fault(rng: &mut StdRng, fleet: &Fleet) -> Fault {
    match rng.random_range(0..8) {
        0..3 => Fault::Stop(rng.random_range(0..fleet.nodes.len())),
        3..6 => Fault::PausedTargets,
        6 => Fault::Configuration,
        _ => Fault::Store(StoreFault::Unavailable),
    }
}

/// Time for which several plain targets are silent. Nodes that each detect it for themselves keep sending to them.
const SILENT_TARGETS_TIME: Duration = Duration::from_secs(4);

/// Maximum age of the copy to which the store is rolled back.
const MAX_COPY_AGE: Duration = Duration::from_millis(5000);

/// Maximum duration of the outage before a rollback of the store.
const MAX_OUTAGE: Duration = Duration::from_millis(1500);

/// Number of fault kinds that every soak injects. The seeds recorded for earlier runs depend on it.
const COMMON_FAULT_KINDS: u32 = 12;

/// Weight of signals relative to another kind of fault; they may be frequent, as the next fault does not wait
/// for their end.
const SIGNAL_WEIGHT: u32 = 6;

/// Weight of several silent targets relative to another kind of fault.
const SILENT_TARGETS_WEIGHT: u32 = 6;

/// Weight of silent connections to the store relative to another kind of fault.
const SILENT_STORE_CONNECTIONS_WEIGHT: u32 = 2;

/// Returns a random fault.
fn random_fault(rng: &mut StdRng, fleet: &Fleet, options: FaultOptions) -> Fault {
    let node = rng.random_range(0..fleet.nodes.len());
    let target = rng.random_range(0..fleet.target_proxies.len());
    let cuts = [
        ProxyMode::Silent,
        ProxyMode::SilentAnswers,
        ProxyMode::Reset,
        ProxyMode::Delay(Duration::from_millis(150)),
    ];
    let cut = cuts[rng.random_range(0..cuts.len())];
    let restarts = u32::from(options.has_restarts);
    let rollbacks = u32::from(options.has_store_rollbacks);
    let signals = u32::from(options.has_signals) * SIGNAL_WEIGHT;
    let others = COMMON_FAULT_KINDS + restarts + rollbacks + signals;
    let silent_targets = u32::from(options.silent_targets > 0) * SILENT_TARGETS_WEIGHT;
    let all = others + silent_targets;
    let silent_connections = u32::from(options.has_changes) * SILENT_STORE_CONNECTIONS_WEIGHT;
    match rng.random_range(0..all + silent_connections) {
        0 => Fault::Kill(node),
        1 | 2 => Fault::Stop(node),
        3 => Fault::Freeze(node),
        4 => Fault::Store(StoreFault::Unavailable),
        5 => Fault::Store(StoreFault::Silent),
        6 => Fault::StoreCut(node, cut),
        7 => Fault::Compact,
        8 => Fault::TargetCut(target, cut),
        9 => Fault::Target(target, TargetFault::DeclinesAll),
        10 => Fault::Target(
            target,
            [
                TargetFault::Silent,
                TargetFault::AnswersLost,
                TargetFault::AbortsAnswers,
                TargetFault::WrongAttemptId,
            ][rng.random_range(0..4)],
        ),
        11 => Fault::Configuration,
        12 if options.has_restarts => Fault::RestartTarget(target),
        n if n >= all => Fault::SilentStoreConnections((n == all).then_some(node)),
        n if n >= others => Fault::SilentTargets(options.silent_targets),
        n if n >= COMMON_FAULT_KINDS + restarts + rollbacks => {
            Fault::Signals(target, SignalFault::random(rng))
        }
        _ => random_store_rollback(rng),
    }
}

fn random_store_rollback(rng: &mut StdRng) -> Fault {
    let how = StoreRollback {
        outage: MAX_OUTAGE.mul_f64(rng.random_range(0.0..1.0)),
        copy_age: MAX_COPY_AGE.mul_f64(rng.random_range(0.0..1.0)),
        seed: rng.random(),
    };
    Fault::StoreRollback(how, rng.random_range(1..3))
}

/// Injects one random fault and waits until it is over; signals go on in the background.
pub(super) async fn inject_fault(
    fleet: &mut Fleet,
    shared: &SoakState,
    rng: &mut StdRng,
    options: FaultOptions,
) {
    let fault = if options.loses_nothing {
        random_harmless_fault(rng, fleet)
    } else {
        random_fault(rng, fleet, options)
    };
    let length = MAX_FAULT_TIME.mul_f64(rng.random_range(0.3..1.0));
    record_fault(shared, fault, length);
    record_affected(fleet, shared, fault);
    let disturbed = disturbed_by(fault);
    if let Some(what) = disturbed {
        shared.disturbances.begin(what);
    }
    match fault {
        Fault::Kill(n) => {
            fleet.nodes[n].signal(Signal::SIGKILL);
            tokio::time::sleep(length / 2).await;
            restart_node(fleet, shared, n).await;
        }
        Fault::Stop(n) => {
            shared.note_stop(fleet.nodes[n].callers_addr());
            fleet.nodes[n].signal(Signal::SIGTERM);
            end_stop(fleet, shared, n).await;
        }
        Fault::Freeze(n) => {
            fleet.nodes[n].signal(Signal::SIGSTOP);
            tokio::time::sleep(length).await;
            fleet.nodes[n].signal(Signal::SIGCONT);
        }
        Fault::Store(fault) => {
            fleet.platform.store.set_fault(fault);
            tokio::time::sleep(length).await;
            fleet.platform.store.set_fault(StoreFault::None);
        }
        Fault::StoreCut(n, mode) => {
            fleet.store_proxies[n].set_mode(mode);
            tokio::time::sleep(length).await;
            fleet.store_proxies[n].set_mode(ProxyMode::Pass);
        }
        Fault::Compact => fleet.platform.store.compact(),
        Fault::TargetCut(n, mode) => {
            fleet.target_proxies[n].set_mode(mode);
            tokio::time::sleep(length).await;
            fleet.target_proxies[n].set_mode(ProxyMode::Pass);
        }
        Fault::Target(n, fault) => {
            let targets: Vec<_> = fleet
                .platform
                .engines
                .iter()
                .chain(&fleet.platform.plain)
                .collect();
            targets[n].set_fault(fault);
            tokio::time::sleep(length).await;
            targets[n].set_fault(TargetFault::None);
        }
        Fault::SilentTargets(count) => {
            let silent = silent_targets(fleet, count);
            for n in silent.clone() {
                fleet.target_proxies[n].set_mode(ProxyMode::Silent);
            }
            tokio::time::sleep(SILENT_TARGETS_TIME).await;
            for n in silent {
                fleet.target_proxies[n].set_mode(ProxyMode::Pass);
            }
        }
        Fault::PausedTargets => {
            let length = rng.random_range(PAUSE_TIMES);
            for proxy in &fleet.target_proxies {
                proxy.set_mode(ProxyMode::Paused);
            }
            tokio::time::sleep(length).await;
            for proxy in &fleet.target_proxies {
                proxy.set_mode(ProxyMode::Pass);
            }
            // The next stop would end answers that still wait for their targets.
            tokio::time::sleep(length).await;
        }
        Fault::Signals(n, signals) => begin_signals(fleet, shared, n, signals),
        Fault::SilentStoreConnections(node) => {
            for (n, proxy) in fleet.store_proxies.iter().enumerate() {
                if node.is_none_or(|node| node == n) {
                    proxy.silence_open_connections();
                }
            }
        }
        // Another task writes the configuration.
        Fault::Configuration if options.has_changes => {}
        Fault::Configuration => fleet.platform.change_configuration(|_| {}),
        Fault::StoreRollback(how, times) => {
            for _ in 0..times {
                fleet.platform.roll_back_store(how).await;
            }
        }
        Fault::RestartTarget(n) => {
            if let Err(e) = fleet.restart_target(n).await {
                shared.report_violation(format!("target {n} did not restart: {e}"));
            }
        }
    }
    if let Some(what) = disturbed {
        let is_rollback = matches!(fault, Fault::StoreRollback(..));
        let after = if is_rollback {
            REWRITE_TIME
        } else {
            Duration::ZERO
        };
        shared.disturbances.end(what, after);
    }
    record_affected(fleet, shared, fault);
    if may_lose_answers(fault) {
        shared.note_disruption();
    }
}

/// What a fault disturbs of that by which nodes learn of changes. A store that is only slower or has dropped its history is
/// not disturbed.
fn disturbed_by(fault: Fault) -> Option<Disturbed> {
    match fault {
        Fault::Kill(n) | Fault::Stop(n) | Fault::Freeze(n) => Some(Disturbed::Node(n)),
        Fault::Store(_) | Fault::StoreRollback(..) => Some(Disturbed::Store),
        Fault::StoreCut(_, ProxyMode::Delay(_)) => None,
        Fault::StoreCut(n, _) | Fault::SilentStoreConnections(Some(n)) => {
            Some(Disturbed::StorePath(n))
        }
        Fault::SilentStoreConnections(None) => Some(Disturbed::AllStorePaths),
        _ => None,
    }
}

/// Numbers of the first plain targets, which come after the engines.
fn silent_targets(fleet: &Fleet, count: usize) -> Range<usize> {
    let engines = fleet.platform.engines.len();
    engines..(engines + count).min(fleet.target_proxies.len())
}

/// Records nodes and targets affected by a fault, which excuses requests that ignore a signal.
fn record_affected(fleet: &Fleet, shared: &SoakState, fault: Fault) {
    match fault {
        Fault::Kill(n) | Fault::Stop(n) | Fault::Freeze(n) => {
            shared
                .signals
                .on_affected(Affected::Node(fleet.nodes[n].callers_addr()));
        }
        Fault::TargetCut(n, _) => shared.signals.on_affected(Affected::Target(n)),
        Fault::SilentTargets(count) => {
            for n in silent_targets(fleet, count) {
                shared.signals.on_affected(Affected::Target(n));
            }
        }
        _ => {}
    }
}

fn record_fault(shared: &SoakState, fault: Fault, length: Duration) {
    if may_lose_answers(fault) {
        shared.note_disruption();
    }
    shared.record_fault(format!("{fault:?} for {length:?}"));
}

/// Returns whether a fault may lose answers.
fn may_lose_answers(fault: Fault) -> bool {
    !matches!(
        fault,
        Fault::Stop(_)
            | Fault::PausedTargets
            | Fault::Store(_)
            | Fault::StoreCut(..)
            | Fault::SilentStoreConnections(_)
            | Fault::Compact
            | Fault::Signals(..)
            | Fault::Configuration
            | Fault::StoreRollback(..)
    )
}

/// Reports nodes that have ended though nothing ended them, and starts them again.
pub(super) async fn restart_ended_nodes(fleet: &mut Fleet, shared: &SoakState) {
    for n in 0..fleet.nodes.len() {
        if !fleet.nodes[n].is_running() {
            shared.report_violation(format!("node {n} ended by itself"));
            shared.disturbances.begin(Disturbed::Node(n));
            restart_node(fleet, shared, n).await;
            shared.disturbances.end(Disturbed::Node(n), Duration::ZERO);
        }
    }
}

/// Waits until a stopping node has ended, and starts it again.
pub(super) async fn end_stop(fleet: &mut Fleet, shared: &SoakState, n: usize) {
    if !fleet.nodes[n].wait_until_ended(STOP_TIMEOUT).await {
        shared.report_violation(format!("node {n} did not stop within its grace period"));
        fleet.nodes[n].signal(Signal::SIGKILL);
    }
    restart_node(fleet, shared, n).await;
}

async fn restart_node(fleet: &mut Fleet, shared: &SoakState, n: usize) {
    shared.disturbances.on_restart(n);
    if let Err(e) = fleet.nodes[n].start() {
        shared.report_violation(format!("node {n} did not start: {e}"));
        return;
    }
    if let Err(e) = fleet.nodes[n].wait_until_ready().await {
        shared.report_violation(e.to_string());
    }
}
