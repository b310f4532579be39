//! Checks that each node follows each change of the configuration in time, and never goes back to an older version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::callers::SoakState;
use super::disturbances::Disturbed;
use super::run::APPLY_TIME;
use super::version_log::{Outcome, Probe, VersionLog};
use crate::platform::{Caller, CallerRequest};

/// Time after the end of a disturbance from which on a node must follow changes in time again.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Additional time for a node that can't reach the store, and learns of changes from others.
const OTHERS_TIME: Duration = Duration::from_millis(5000);

/// Shortest and longest pause between two requests to a node, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 40..160;

/// Time that a request may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// What a process of a node has shown so far.
#[derive(Clone, Copy, Default)]
struct Shown {
    /// Number of restarts of the node before this process.
    restarts: u64,
    /// Earliest version that the process can have, as a place in the log.
    place: usize,
}

/// Asks one node for what changes add and remove until the soak is stopped.
pub(super) async fn run_change_checker(
    shared: Arc<SoakState>,
    log: Arc<VersionLog>,
    node: (usize, SocketAddr),
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut shown = Shown::default();
    while !shared.stopped.is_cancelled() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSES_MS))).await;
        let probe = log.random_probe(&mut rng);
        let restarts = shared.disturbances.restarts(node.0);
        let sent = Instant::now();
        let request = request(&shared, &probe);
        let answer = Caller::default().ask(node.1, &request).await;
        let is_same_process = shared.disturbances.restarts(node.0) == restarts;
        let Some(status) = answer.ok().map(|a| a.status).filter(|_| is_same_process) else {
            continue;
        };
        if shown.restarts != restarts {
            shown = Shown { restarts, place: 0 };
        }
        check(&shared, &log, node.0, &probe, (sent, status), &mut shown);
    }
}

/// Checks one answer against the versions that its node must have, and those that it has shown before.
fn check(
    shared: &SoakState,
    log: &VersionLog,
    node: usize,
    probe: &Probe,
    (sent, status): (Instant, StatusCode),
    shown: &mut Shown,
) {
    let Some(outcome) = Outcome::of(status) else {
        return;
    };
    let what = format!("node {node}: {status} for {probe:?}");
    let allowing = log.allowing(probe, outcome, shown.place);
    let Some(last) = allowing.last else {
        shared.report_violation(format!("{what}, which no version allows"));
        return;
    };
    let is_behind = if let Some(bound) = bound(shared, node, sent) {
        shared.count("answers checked against a change");
        last < log.acknowledged_before(sent, bound)
    } else {
        false
    };
    if is_behind {
        let (version, _) = log.age(last, sent);
        let (missed, age) = log.age(last + 1, sent);
        shared.report_violation(format!(
            "{what}, which version {version} or older allows; {missed} was acknowledged {age:?} before"
        ));
    }
    match allowing.first {
        Some(first) => shown.place = first,
        None => {
            let (version, _) = log.age(last, sent);
            let (before, _) = log.age(shown.place, sent);
            shared.report_violation(format!(
                "{what}, which version {version} or older allows, after {before} or later was in force there"
            ));
        }
    }
}

/// Time after an acknowledgement within which a node must know the version; `None` if it isn't in touch.
fn bound(shared: &SoakState, node: usize, at: Instant) -> Option<Duration> {
    let from = at.checked_sub(CONTACT_TIME)?;
    let any = |matches: &dyn Fn(Disturbed) -> bool| {
        let disturbances = &shared.disturbances;
        disturbances.any_between(from, at, matches)
    };
    if any(&|what| what == Disturbed::Store || what == Disturbed::Node(node)) {
        return None;
    }
    let is_cut =
        any(&|what| what == Disturbed::StorePath(node) || what == Disturbed::AllStorePaths);
    Some(if is_cut {
        APPLY_TIME + OTHERS_TIME
    } else {
        APPLY_TIME
    })
}

fn request(shared: &SoakState, probe: &Probe) -> CallerRequest {
    let number = shared.attempts.fetch_add(1, Ordering::Relaxed);
    CallerRequest {
        attempt: format!("{number:016x}"),
        path: format!("{}1", probe.prefix),
        host: "desk.example".to_owned(),
        key: probe.key.clone(),
        tokens: None,
        prompt_parts: String::new(),
        body: "{}".into(),
        timeout: TIMEOUT,
    }
}
