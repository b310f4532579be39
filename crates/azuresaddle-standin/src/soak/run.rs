//! Runs a soak and its final checks.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::callers::{SoakState, run_caller};
use super::change_checks::run_change_checker;
use super::changes::{open_version_log, run_changes};
use super::crashers::{check_crashes, run_crasher, run_part_crasher};
use super::disturbances::Disturbances;
use super::faults::{FaultOptions, inject_fault, restart_ended_nodes};
use super::fleet::{Fleet, FleetOptions};
use super::odd_entries::run_odd_writer;
use super::overlaps::{EVENT_TIMEOUT, inject_overlap, open_fleet};
use super::report::SoakReport;
use super::signal_checks::check_signals;
use super::signals::{SignalLog, end_signals};
use super::slow_readers::run_slow_reader;
use super::stalled_readers::run_stalled_reader;
use super::waiting_callers::run_waiting_caller;
use crate::platform::{Caller, CallerRequest, ConfigurationSpec};

/// Time after the callers have stopped within which the last requests end and release their memory.
const SETTLE_TIME: Duration = Duration::from_millis(4500);

/// Maximum time until a configuration is in effect on every node.
pub(super) const APPLY_TIME: Duration = Duration::from_millis(2000);

/// Longest time for which the traffic thread of a node may run nothing, in milliseconds. A loaded machine stalls it for less.
const MAX_STALL_MS: u64 = 2000;

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the node program.
    pub program: PathBuf,
    /// Directory for the settings and logs of the nodes.
    pub dir: PathBuf,
    /// Seed of the callers and the faults.
    pub seed: u64,
    /// Number of callers.
    pub callers: u64,
    /// Time for which faults are injected.
    pub length: Duration,
    /// Number of nodes and targets.
    pub fleet: FleetOptions,
    /// Additional kinds of faults.
    pub faults: FaultOptions,
    /// Number of callers that repeatedly send a request which crashes every target that runs it.
    pub crashers: u64,
    /// Number of callers that send requests with a part in their prompts which crashes every target that runs them.
    pub part_crashers: u64,
    /// Number of callers that stop reading or sending.
    pub stalled_readers: u64,
    /// Number of callers that read long answers slowly.
    pub slow_readers: u64,
    /// Number of callers whose streams take up the engines, so that others wait for one.
    pub crowd: u64,
}

/// Runs callers under injected faults, then checks that all nodes have recovered.
///
/// # Errors
/// Returns an error if the directory can't be created or the fleet can't be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.dir)?;
    let overlaps = options.faults.overlaps;
    let mut fleet = if overlaps {
        open_fleet(options).await?
    } else {
        Fleet::open(&options.program, &options.dir, options.fleet).await?
    };
    let shared = Arc::new(SoakState {
        runs: fleet.platform.runs.clone(),
        directories: fleet.nodes.iter().map(|n| n.directory_addr()).collect(),
        report: Mutex::new(SoakReport {
            seed: options.seed,
            ..SoakReport::default()
        }),
        run_limits: Mutex::default(),
        last_disruption: Mutex::new(Instant::now()),
        attempts: AtomicU64::new(options.seed << 32),
        stops: Mutex::default(),
        stopped: CancellationToken::new(),
        signals: SignalLog::default(),
        disturbances: Disturbances::default(),
        has_sound_targets: overlaps,
        event_timeout: overlaps.then_some(EVENT_TIMEOUT),
    });
    let callers: Vec<_> = (0..options.callers)
        .map(|n| tokio::spawn(run_caller(Arc::clone(&shared), options.seed * 1000 + n)))
        .collect();
    let mut callers = callers;
    callers.extend((0..options.crashers).map(|n| {
        let crashing_requests = fleet.platform.crashing_requests.clone();
        tokio::spawn(run_crasher(Arc::clone(&shared), crashing_requests, n))
    }));
    callers.extend((0..options.part_crashers).map(|n| {
        let crashing_requests = fleet.platform.crashing_requests.clone();
        tokio::spawn(run_part_crasher(Arc::clone(&shared), crashing_requests, n))
    }));
    callers.extend((0..options.stalled_readers).map(|n| {
        let seed = options.seed * 1000 + options.callers + n;
        tokio::spawn(run_stalled_reader(Arc::clone(&shared), seed))
    }));
    callers.extend((0..options.slow_readers).map(|n| {
        let seed = options.seed * 1000 + 500 + n;
        tokio::spawn(run_slow_reader(Arc::clone(&shared), seed))
    }));
    callers.extend((0..options.crowd).map(|n| {
        let seed = options.seed * 1000 + 600 + n;
        tokio::spawn(run_waiting_caller(Arc::clone(&shared), seed))
    }));
    if options.faults.has_odd_entries {
        let store = fleet.platform.store.clone();
        let seed = options.seed * 1000 + 700;
        callers.push(tokio::spawn(run_odd_writer(
            Arc::clone(&shared),
            store,
            seed,
        )));
    }
    let changes = options
        .faults
        .has_changes
        .then(|| spawn_changes(&fleet, &shared, options.seed, &mut callers));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + options.length;
    while Instant::now() < end {
        if overlaps {
            inject_overlap(&mut fleet, &shared, &mut rng).await;
        } else {
            inject_fault(&mut fleet, &shared, &mut rng, options.faults).await;
        }
        end_signals(&mut fleet, &shared).await;
        restart_ended_nodes(&mut fleet, &shared).await;
        if let Err(e) = fleet.platform.restart_ended().await {
            shared.report_violation(format!("a target did not restart: {e}"));
        }
    }
    shared.stopped.cancel();
    for caller in callers {
        if let Err(e) = caller.await {
            shared.report_violation(format!("a caller panicked: {e}"));
        }
    }
    if let Some(changes) = changes {
        fleet.platform.configuration = changes.await?;
    }
    check_recovery(&mut fleet, &shared).await;
    restart_ended_nodes(&mut fleet, &shared).await;
    check_crashes(&fleet, &shared);
    check_signals(&shared);
    check_hangs(&fleet, &shared);
    let report = shared.report.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report.clone())
}

/// Changes the configuration during the soak, and checks that each node follows; returns the task that ends with the last
/// configuration.
fn spawn_changes(
    fleet: &Fleet,
    shared: &Arc<SoakState>,
    seed: u64,
    callers: &mut Vec<JoinHandle<()>>,
) -> JoinHandle<ConfigurationSpec> {
    let mut writer = fleet.platform.configuration_writer();
    let log = Arc::new(open_version_log(&mut writer));
    callers.extend(fleet.nodes.iter().enumerate().map(|(n, node)| {
        tokio::spawn(run_change_checker(
            Arc::clone(shared),
            Arc::clone(&log),
            (n, node.callers_addr()),
            seed * 1000 + 800 + n as u64,
        ))
    }));
    tokio::spawn(run_changes(
        Arc::clone(shared),
        log,
        writer,
        seed * 1000 + 900,
    ))
}

/// Checks that no node has served nobody while it ran.
fn check_hangs(fleet: &Fleet, shared: &SoakState) {
    for node in &fleet.nodes {
        let log = node.log_text();
        let hangs = log.lines().filter_map(stalled_ms);
        for ms in hangs.filter(|ms| *ms >= MAX_STALL_MS) {
            shared.report_violation(format!("{} ran nothing for {ms} ms", node.name));
        }
    }
}

/// Time for which the traffic thread ran nothing, if a log line tells of the end of such a time.
fn stalled_ms(line: &str) -> Option<u64> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let is_end = line["message"] == "the traffic thread runs again";
    is_end.then(|| line["stalled_ms"].as_u64())?
}

/// Checks that a configuration change is in effect on every node, that every node serves requests, that no
/// memory is still reserved, and that no attempt ran more often than allowed.
async fn check_recovery(fleet: &mut Fleet, shared: &SoakState) {
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
        .platform
        .change_configuration(|c| c.accounts[0].keys.retain(|k| k != "key-2"));
    tokio::time::sleep(APPLY_TIME).await;
    for (n, node) in fleet.nodes.iter().enumerate() {
        let caller_request = |key: &str, path: &str, tokens| CallerRequest {
            attempt: format!(
                "{:016x}",
                0xffff_0000_u64 + n as u64 * 16 + path.len() as u64
            ),
            path: path.to_owned(),
            host: "desk.example".to_owned(),
            key: key.to_owned(),
            tokens,
            prompt_parts: String::new(),
            body: "{}".into(),
            timeout: Duration::from_secs(3),
        };
        let mut caller = Caller::default();
        for (key, path, tokens, status) in [
            ("key-1", "/note/1", None, 200),
            ("key-2", "/note/1", None, 401),
            ("key-1", "/ask/1", Some((1000, 46)), 200),
        ] {
            let request = caller_request(key, path, tokens);
            let answer = caller.ask(node.callers_addr(), &request).await;
            if answer.as_ref().map(|a| a.status.as_u16()) != Ok(status) {
                shared.report_violation(format!(
                    "node {n}, {key}, {path}: {answer:?}, expected {status}"
                ));
            }
        }
    }
    if fleet.platform.reserved_tokens() > 0 {
        shared.report_violation("memory is still reserved".to_owned());
    }
    let run_limits = shared
        .run_limits
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for (attempt, max_runs) in run_limits.iter() {
        let run = shared.runs.of(attempt);
        if run.count > *max_runs {
            shared.report_violation(format!(
                "{attempt} ran {} times, at most {max_runs} allowed",
                run.count
            ));
        }
    }
}
