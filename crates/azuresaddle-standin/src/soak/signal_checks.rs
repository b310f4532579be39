//! Checks that nodes follow the signals of targets.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::callers::SoakState;
use super::signals::{Affected, Announcement, RelayedSignals, SignalFault, SignalRecords};
use crate::platform::ArrivedRequest;
use crate::rate_limit_check::{
    ADJUSTMENT_TIME, WINDOW, max_requests_in_window, peak_requests_in_window,
};

/// Time after which a node must follow a rate limit that it has relayed, or a back-off that it received.
const RELAY_DELAY: Duration = Duration::from_millis(500);

/// Time after a node has relayed that a target drains, after which it must send no more requests there.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of requests of one node that may reach a target during its back-off.
const MAX_IN_BACK_OFF: usize = 2;

/// Time for which a fault of the link to a target still excuses requests.
const FAULT_GRACE: Duration = Duration::from_secs(3);

/// Checks that no target received more requests than its signals allow.
pub(super) fn check_signals(shared: &SoakState) {
    let log = shared.signals.lock();
    for announcement in &log.announcements {
        let arrivals = announcement.target.arrivals();
        let violation = match announcement.fault {
            SignalFault::Limit(rate) => check_limit(&log, announcement, &arrivals, rate),
            SignalFault::Drains => check_draining(&log, announcement, &arrivals),
            SignalFault::BacksOff(_) => check_back_off(&log, announcement, &arrivals),
        };
        shared.count(match announcement.fault {
            SignalFault::Limit(_) => "targets that limited their rate",
            SignalFault::Drains => "targets that drained",
            SignalFault::BacksOff(_) => "targets that asked to back off",
        });
        if let Some(violation) = violation {
            let id = announcement.target.id();
            shared.report_violation(format!(
                "{violation} at {id}, which {:?}",
                announcement.fault
            ));
        }
    }
}

fn check_limit(
    log: &SignalRecords,
    announcement: &Announcement,
    arrivals: &[ArrivedRequest],
    rate: f64,
) -> Option<String> {
    let end = announcement.ended.unwrap_or_else(Instant::now);
    let counted: Vec<Duration> = arrivals
        .iter()
        .filter(|a| (announcement.began + ADJUSTMENT_TIME..end).contains(&a.at))
        .filter(|a| {
            let relayed = first_relayed(log, announcement, a, |t| t.signals.rate_limit.is_some());
            relayed
                .is_some_and(|at| at + RELAY_DELAY <= a.at && !is_excused(log, announcement, a, at))
        })
        .map(|a| a.at - announcement.began)
        .collect();
    let most = peak_requests_in_window(&counted, WINDOW);
    let allowed = max_requests_in_window(rate);
    (most > allowed).then(|| format!("{most} requests in 4 s, {allowed} allowed"))
}

fn check_draining(
    log: &SignalRecords,
    announcement: &Announcement,
    arrivals: &[ArrivedRequest],
) -> Option<String> {
    let late = arrivals.iter().filter(|a| {
        let relayed = first_relayed(log, announcement, a, |t| t.signals.is_draining);
        relayed.is_some_and(|at| at + DRAIN_GRACE < a.at && !is_excused(log, announcement, a, at))
    });
    let late = late.count();
    (late > 0).then(|| format!("{late} requests after the drain grace period"))
}

fn check_back_off(
    log: &SignalRecords,
    announcement: &Announcement,
    arrivals: &[ArrivedRequest],
) -> Option<String> {
    let most = arrivals.iter().filter_map(|rejected| {
        let node = log.nodes.get(&rejected.attempt)?;
        let back_off = rejected.at + RELAY_DELAY..rejected.at + rejected.back_off?;
        let in_back_off = arrivals.iter().filter(|a| {
            back_off.contains(&a.at)
                && log.nodes.get(&a.attempt) == Some(node)
                && !is_excused(log, announcement, a, rejected.at)
        });
        Some(in_back_off.count())
    });
    let most = most.max().unwrap_or(0);
    (most > MAX_IN_BACK_OFF).then(|| format!("{most} requests of one node during a back-off"))
}

/// Returns when the node that sent a request first relayed the matching signal of this announcement.
fn first_relayed(
    log: &SignalRecords,
    announcement: &Announcement,
    arrived: &ArrivedRequest,
    matches: impl Fn(&RelayedSignals) -> bool,
) -> Option<Instant> {
    let node = log.nodes.get(&arrived.attempt)?;
    let of_node = log.relayed.iter().filter(|t| t.node == *node && matches(t));
    let relayed =
        of_node.filter(|t| t.target == announcement.target.id() && t.at >= announcement.began);
    relayed.map(|t| t.at).min()
}

/// Returns whether a request is excused: the node was stopped or frozen after it relayed the signal, or a fault
/// affected the link to the target.
fn is_excused(
    log: &SignalRecords,
    announcement: &Announcement,
    arrived: &ArrivedRequest,
    relayed: Instant,
) -> bool {
    let node: Option<SocketAddr> = log.nodes.get(&arrived.attempt).copied();
    log.affected.iter().any(|(at, what)| match what {
        Affected::Node(affected) => node == Some(*affected) && (relayed..arrived.at).contains(at),
        Affected::Target(n) => {
            *n == announcement.number && (*at..*at + FAULT_GRACE).contains(&arrived.at)
        }
    })
}
