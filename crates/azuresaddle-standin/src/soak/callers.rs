//! Callers that send requests continuously and check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::disturbances::Disturbances;
use super::faults::STOP_TIMEOUT;
use super::report::SoakReport;
use super::signals::SignalLog;
use crate::http_util::get_json;
use crate::platform::{Caller, CallerError, CallerRequest, Runs};

/// Time that callers wait for a complete answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which a caller keeps the resolved node addresses.
const KEEP_ADDRESSES: Duration = Duration::from_secs(2);

/// Time from the stop signal to the last sixth of a node's grace period, in which answers may be cut.
const LAST_SIXTH_START: Duration = Duration::from_millis(3300);

/// State of one soak, shared by the callers, the fault injection and the checks.
pub(super) struct SoakState {
    pub(super) runs: Runs,
    pub(super) directories: Vec<SocketAddr>,
    pub(super) report: Mutex<SoakReport>,
    /// Attempts with the maximum number of times that each may run (0 or 1), checked at the end.
    pub(super) run_limits: Mutex<Vec<(String, u32)>>,
    /// Time of the latest fault that may lose answers; for a while after it, answers may be incomplete.
    pub(super) last_disruption: Mutex<Instant>,
    pub(super) attempts: AtomicU64,
    /// Times at which nodes were told to stop.
    pub(super) stops: Mutex<Vec<(SocketAddr, Instant)>>,
    pub(super) stopped: CancellationToken,
    pub(super) signals: SignalLog,
    pub(super) disturbances: Disturbances,
    /// Whether all targets are sound, though silent at times.
    pub(super) has_sound_targets: bool,
    /// Time without an event after which callers leave a stream; `None` if they wait until their timeout.
    pub(super) event_timeout: Option<Duration>,
}

impl SoakState {
    pub(super) fn report_violation(&self, what: String) {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.violations.push(what);
    }

    pub(super) fn record_fault(&self, what: String) {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.faults.push(what);
    }

    /// A caller that leaves a stream without events, if callers of this soak do so.
    pub(super) fn new_caller(&self) -> Caller {
        self.event_timeout
            .map_or_else(Caller::default, Caller::with_event_timeout)
    }

    /// Whether a status reports a failed target although all targets of this soak are sound.
    pub(super) fn is_failure(&self, status: StatusCode) -> bool {
        let failures = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        self.has_sound_targets && failures.contains(&status)
    }

    pub(super) fn count(&self, end: &str) {
        self.report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .count(end);
    }

    /// Records that a fault which may lose answers happens now.
    pub(super) fn note_disruption(&self) {
        *self
            .last_disruption
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Whether a fault that may lose answers happened since `at` or shortly before.
    pub(super) fn was_disrupted_since(&self, at: Instant) -> bool {
        *self
            .last_disruption
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            + ANSWER_TIMEOUT
            >= at
    }

    /// Records that a node is told to stop now.
    pub(super) fn note_stop(&self, node: SocketAddr) {
        let mut stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        stops.push((node, Instant::now()));
    }

    /// Whether a node was told to stop since `at`, or shortly before so that it may still run.
    pub(super) fn was_stopped_since(&self, node: SocketAddr, at: Instant) -> bool {
        let stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        stops
            .iter()
            .any(|(n, t)| *n == node && *t + STOP_TIMEOUT >= at)
    }

    /// Whether a node was told to stop since `at` or shortly before, and the last sixth of its grace period has begun.
    pub(super) fn has_outlasted_stop(&self, node: SocketAddr, at: Instant) -> bool {
        let stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        stops
            .iter()
            .any(|(n, t)| *n == node && *t + STOP_TIMEOUT >= at && t.elapsed() >= LAST_SIXTH_START)
    }

    fn limit_runs(&self, attempt: &str, max_runs: u32) {
        self.run_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((attempt.to_owned(), max_runs));
    }
}

/// Sends requests until the soak is stopped.
pub(super) async fn run_caller(shared: Arc<SoakState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut caller = shared.new_caller();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_at = Instant::now();
    while !shared.stopped.is_cancelled() {
        if addresses.is_empty() || resolved_at.elapsed() > KEEP_ADDRESSES {
            addresses = resolve(&shared, &mut rng, addresses).await;
            resolved_at = Instant::now();
        }
        let Some(node) = addresses.choose(&mut rng).copied() else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let request = random_request(&shared, &mut rng);
        let began = Instant::now();
        shared.signals.on_sent(node, &request);
        let result = caller.ask(node, &request).await;
        shared.signals.on_answer(node, &result);
        check_answer(&shared, &request, began, &result);
        if result.is_err() {
            addresses.retain(|a| *a != node);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..40))).await;
    }
}

pub(super) async fn resolve(
    shared: &SoakState,
    rng: &mut StdRng,
    known: Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    for _ in 0..3 {
        let Some(directory) = shared.directories.choose(rng) else {
            break;
        };
        let answer = get_json(*directory, "/resolve?name=desk.example&zone=d1").await;
        let listed = answer.and_then(|a| a["addresses"].as_array().cloned());
        let listed = listed.unwrap_or_default();
        let parsed: Vec<SocketAddr> = listed
            .iter()
            .filter_map(|a| a.as_str()?.parse().ok())
            .collect();
        if !parsed.is_empty() {
            return parsed;
        }
    }
    known
}

/// Resolves the nodes and picks one; `None`, after a pause, if no directory lists any.
pub(super) async fn random_node(shared: &SoakState, rng: &mut StdRng) -> Option<SocketAddr> {
    let addresses = resolve(shared, rng, Vec::new()).await;
    let node = addresses.choose(rng).copied();
    if node.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    node
}

/// Part with which the prompts of all streams begin.
pub(super) const FIRST_PART: &str = "f0";

/// Number of second parts, each of which many streams share.
const SECOND_PARTS: u64 = 6;

pub(super) fn random_request(shared: &SoakState, rng: &mut StdRng) -> CallerRequest {
    let number = shared.attempts.fetch_add(1, Ordering::Relaxed);
    let (path, tokens) = match rng.random_range(0..10) {
        0..=3 => ("/note/1", None),
        4..=5 => ("/post/1", None),
        6..=7 => (
            "/ask/1",
            Some((rng.random_range(200..4000), 46 * rng.random_range(1..8))),
        ),
        8 => ("/ask-once/1", Some((rng.random_range(200..4000), 46 * 3))),
        _ => ("/ask/1", Some((rng.random_range(20_000..90_000), 46 * 3))),
    };
    let prompt_parts = match tokens {
        Some(_) => format!(
            "{FIRST_PART}:40,e{}:100,{number:x}:60",
            number % SECOND_PARTS
        ),
        None => String::new(),
    };
    CallerRequest {
        attempt: format!("{number:016x}"),
        path: path.to_owned(),
        host: "desk.example".to_owned(),
        key: "key-1".to_owned(),
        tokens,
        prompt_parts,
        body: "{}".into(),
        timeout: ANSWER_TIMEOUT,
    }
}

/// Checks one answer against the guarantees of the nodes.
pub(super) fn check_answer(
    shared: &SoakState,
    request: &CallerRequest,
    began: Instant,
    result: &Result<crate::platform::Answer, CallerError>,
) {
    let is_once = request.path.starts_with("/post/") || request.path.starts_with("/ask-once/");
    let run = shared.runs.of(&request.attempt);
    let what = |text: &str| format!("{text}: {request:?} {result:?} {run:?}");
    if run.has_key || run.account.as_deref().is_some_and(|a| a != "advisers") {
        shared.report_violation(what("API key forwarded or wrong account"));
    }
    if is_once {
        shared.limit_runs(&request.attempt, 1);
    }
    match result {
        Ok(answer) => {
            shared.count(answer.status.as_str());
            let says_not_run = matches!(
                answer.status,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            );
            if says_not_run && is_once {
                shared.limit_runs(&request.attempt, 0);
            }
            if says_not_run && !answer.has_retry_after {
                shared.report_violation(what("refusal without Retry-After"));
            }
            if shared.is_failure(answer.status) {
                shared.report_violation(what("failure though all targets are sound"));
            }
            if answer.status.is_client_error() {
                shared.report_violation(what("valid request rejected"));
            }
        }
        Err(CallerError::WrongAnswer(_)) => shared.report_violation(what("wrong answer")),
        Err(e) => {
            shared.count(&e.to_string());
            let may_break = shared.was_disrupted_since(began) || *e == CallerError::NoConnection;
            if !may_break {
                shared.report_violation(what("answer lost without a fault that may lose answers"));
            }
        }
    }
}
