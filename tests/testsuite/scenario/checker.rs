//! Judges a run by the promises that always hold.

use std::collections::BTreeMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;

use super::trace::{End, Trace};

/// Time in which an accepted version is in force on every reachable node.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Time that a final answer may take to reach its caller.
const DELIVERY: Duration = Duration::from_millis(500);

/// Every promise that the run broke, in words.
pub(super) fn broken_promises(trace: &Trace) -> Vec<String> {
    let mut broken = Vec::new();
    check_requests(trace, &mut broken);
    check_versions(trace, &mut broken);
    for late in &trace.late_starts {
        broken.push(format!(
            "{} began {} requests while leaving",
            late.target, late.starts
        ));
    }
    if trace.memory_left > 0 {
        broken.push(format!(
            "targets still hold {} tokens of memory",
            trace.memory_left
        ));
    }
    broken
}

fn check_requests(trace: &Trace, broken: &mut Vec<String>) {
    for (id, request) in &trace.requests {
        match &request.end {
            End::Whole => {}
            End::Lost => broken.push(format!("{id} had no final answer")),
            End::Crossed => broken.push(format!("{id} got another's answer")),
            End::Doubled => broken.push(format!("{id} got a token twice")),
            End::Failed {
                verdict: Verdict::NotRun,
                ..
            } if request.executions > 0 => {
                broken.push(format!("{id} was said not to have run, but did"));
            }
            End::Failed { .. } => {}
        }
        if request.took > request.deadline + DELIVERY {
            broken.push(format!("{id} ended after its deadline"));
        }
        if request.once && request.executions > 1 {
            broken.push(format!("{id} ran {} times", request.executions));
        }
    }
}

fn check_versions(trace: &Trace, broken: &mut Vec<String>) {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in &trace.rules {
        let before = highest.entry(&seen.node).or_default();
        if seen.version < *before {
            broken.push(format!("{} went back to rules {}", seen.node, seen.version));
        }
        *before = seen.version.max(*before);
        let due = trace
            .accepted
            .iter()
            .filter(|(at, _)| *at + IN_FORCE < seen.at);
        let due = due.map(|(_, version)| *version).max().unwrap_or(0);
        if seen.reachable && seen.version < due {
            broken.push(format!(
                "{} still has rules {}, not {due}",
                seen.node, seen.version
            ));
        }
    }
    broken.dedup();
}
