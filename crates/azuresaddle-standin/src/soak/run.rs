//! Runs a soak.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::callers::{SoakState, run_caller};
use super::crashers::{check_crashes, run_crasher};
use super::faults::{FaultOptions, inject_fault};
use super::fleet::{Fleet, FleetOptions};
use super::report::SoakReport;
use super::signal_checks::check_signals;
use super::signals::{SignalLog, end_signals};
use crate::platform::{Caller, CallerRequest};

/// Time for the last answers and the release of memory after the callers stopped.
const SETTLE_TIME: Duration = Duration::from_millis(4500);

/// Time in which a configuration must be in force on every node.
const APPLY_TIME: Duration = Duration::from_millis(2000);

/// How a soak runs.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program of the nodes.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
    /// Seed of callers and faults.
    pub seed: u64,
    /// Callers.
    pub callers: u64,
    /// Time of the faults.
    pub length: Duration,
    /// Sizes.
    pub fleet: FleetOptions,
    /// Faults beside the usual ones.
    pub faults: FaultOptions,
    /// Callers that send a request again and again which ends the targets that run it.
    pub crashers: u64,
}

/// Runs callers and faults, then looks whether everything is well again.
///
/// # Errors
/// Where the processes can't be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.dir)?;
    let mut fleet = Fleet::open(&options.program, &options.dir, options.fleet).await?;
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
        stopped: CancellationToken::new(),
        signals: SignalLog::default(),
    });
    let callers: Vec<_> = (0..options.callers)
        .map(|n| tokio::spawn(run_caller(Arc::clone(&shared), options.seed * 1000 + n)))
        .collect();
    let mut callers = callers;
    callers.extend((0..options.crashers).map(|n| {
        let crashing_requests = fleet.platform.crashing_requests.clone();
        tokio::spawn(run_crasher(Arc::clone(&shared), crashing_requests, n))
    }));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + options.length;
    while Instant::now() < end {
        inject_fault(&mut fleet, &shared, &mut rng, options.faults).await;
        end_signals(&mut fleet, &shared).await;
        if let Err(e) = fleet.platform.restart_ended().await {
            shared.report_violation(format!("a target did not start again: {e}"));
        }
    }
    shared.stopped.cancel();
    for caller in callers {
        if let Err(e) = caller.await {
            shared.report_violation(format!("a caller failed: {e}"));
        }
    }
    check_end(&mut fleet, &shared).await;
    check_crashes(&fleet, &shared);
    check_signals(&shared);
    let report = shared.report.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report.clone())
}

/// Looks whether a change is in force everywhere, every node serves, and nothing is left over.
async fn check_end(fleet: &mut Fleet, shared: &SoakState) {
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
    for (attempt, most) in run_limits.iter() {
        let run = shared.runs.of(attempt);
        if run.count > *most {
            shared.report_violation(format!(
                "{attempt} ran {} times, promised {most}",
                run.count
            ));
        }
    }
}
