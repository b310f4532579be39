//! Checks that nodes follow the signals of targets.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::callers::Shared;
use super::signals::{Log, SignalFault, Signalled, Struck, Told};
use crate::platform::ArrivedRequest;
use crate::rate_limit_check::{ADJUSTMENT_TIME, max_requests_in_window, peak_requests_in_window};

/// Time after which a node that has relayed a signal follows it.
const HEARD: Duration = Duration::from_millis(500);

/// Time after which a draining target gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Most requests of a node that may reach a target during its back-off.
const MOST_IN_PAUSE: usize = 2;

/// Time after a fault for which it still excuses a request.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Checks whether targets got more requests than their signals allow.
pub(super) fn check_signals(shared: &Shared) {
    let log = shared.signals.lock();
    for signalled in &log.signalled {
        let arrivals = signalled.target.arrivals();
        let broken = match signalled.fault {
            SignalFault::Limit(rate) => check_limit(&log, signalled, &arrivals, rate),
            SignalFault::Drains => check_draining(&log, signalled, &arrivals),
            SignalFault::BacksOff(_) => check_pause(&log, signalled, &arrivals),
        };
        shared.count(match signalled.fault {
            SignalFault::Limit(_) => "targets that limited their rate",
            SignalFault::Drains => "targets that drained",
            SignalFault::BacksOff(_) => "targets that asked to back off",
        });
        if let Some(broken) = broken {
            let id = signalled.target.id();
            shared.broken(format!("{broken} at {id}, which {:?}", signalled.fault));
        }
    }
}

fn check_limit(
    log: &Log,
    signalled: &Signalled,
    arrivals: &[ArrivedRequest],
    rate: f64,
) -> Option<String> {
    let end = signalled.ended.unwrap_or_else(Instant::now);
    let counted: Vec<Duration> = arrivals
        .iter()
        .filter(|a| (signalled.began + ADJUSTMENT_TIME..end).contains(&a.at))
        .filter(|a| {
            let told = first_told(log, signalled, a, |t| t.signals.rate_limit.is_some());
            told.is_some_and(|at| at + HEARD <= a.at && !is_excused(log, signalled, a, at))
        })
        .map(|a| a.at - signalled.began)
        .collect();
    let most = peak_requests_in_window(&counted);
    let allowed = max_requests_in_window(rate);
    (most > allowed).then(|| format!("{most} requests in 4 s of {allowed}"))
}

fn check_draining(log: &Log, signalled: &Signalled, arrivals: &[ArrivedRequest]) -> Option<String> {
    let late = arrivals.iter().filter(|a| {
        let told = first_told(log, signalled, a, |t| t.signals.is_draining);
        told.is_some_and(|at| at + DRAIN < a.at && !is_excused(log, signalled, a, at))
    });
    let late = late.count();
    (late > 0).then(|| format!("{late} requests after the drain time"))
}

fn check_pause(log: &Log, signalled: &Signalled, arrivals: &[ArrivedRequest]) -> Option<String> {
    let most = arrivals.iter().filter_map(|turned_away| {
        let node = log.nodes.get(&turned_away.attempt)?;
        let pause = turned_away.at + HEARD..turned_away.at + turned_away.back_off?;
        let in_pause = arrivals.iter().filter(|a| {
            pause.contains(&a.at)
                && log.nodes.get(&a.attempt) == Some(node)
                && !is_excused(log, signalled, a, turned_away.at)
        });
        Some(in_pause.count())
    });
    let most = most.max().unwrap_or(0);
    (most > MOST_IN_PAUSE).then(|| format!("{most} requests of one node in a pause"))
}

/// When the node that sent a request had first relayed a signal, while the target announced it.
fn first_told(
    log: &Log,
    signalled: &Signalled,
    arrived: &ArrivedRequest,
    is_it: impl Fn(&Told) -> bool,
) -> Option<Instant> {
    let node = log.nodes.get(&arrived.attempt)?;
    let of_node = log.told.iter().filter(|t| t.node == *node && is_it(t));
    let told = of_node.filter(|t| t.target == signalled.target.id() && t.at >= signalled.began);
    told.map(|t| t.at).min()
}

/// Whether the node was stopped or frozen since it relayed the signal, or its link to the target was disturbed.
fn is_excused(log: &Log, signalled: &Signalled, arrived: &ArrivedRequest, told: Instant) -> bool {
    let node: Option<SocketAddr> = log.nodes.get(&arrived.attempt).copied();
    log.struck.iter().any(|(at, what)| match what {
        Struck::Node(struck) => node == Some(*struck) && (told..arrived.at).contains(at),
        Struck::Target(n) => *n == signalled.number && (*at..*at + AFTERMATH).contains(&arrived.at),
    })
}
