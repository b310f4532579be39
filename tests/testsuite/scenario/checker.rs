//! Checks a run against the guarantees that must always hold.

use std::collections::BTreeMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;

use super::trace::{RequestEnd, Trace};

/// Time within which an accepted version of the rules is in effect on every reachable node.
const RULES_APPLY_TIME: Duration = Duration::from_secs(4);

/// Time that a final answer may take to reach its caller after the deadline.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Describes each guarantee that the run violated.
pub(super) fn violated_guarantees(trace: &Trace) -> Vec<String> {
    let mut violations = Vec::new();
    check_requests(trace, &mut violations);
    check_versions(trace, &mut violations);
    for late in &trace.late_starts {
        violations.push(format!(
            "{} began {} requests while leaving",
            late.target, late.starts
        ));
    }
    if trace.memory_left > 0 {
        violations.push(format!(
            "targets still hold {} tokens of memory",
            trace.memory_left
        ));
    }
    violations
}

fn check_requests(trace: &Trace, violations: &mut Vec<String>) {
    for (id, request) in &trace.requests {
        match &request.end {
            RequestEnd::Whole => {}
            RequestEnd::Lost => violations.push(format!("{id} had no final answer")),
            RequestEnd::Crossed => violations.push(format!("{id} got another's answer")),
            RequestEnd::Doubled => violations.push(format!("{id} got a token twice")),
            RequestEnd::Failed {
                verdict: Verdict::NotRun,
                ..
            } if request.executions > 0 => {
                violations.push(format!("{id} was said not to have run, but did"));
            }
            RequestEnd::Failed { .. } => {}
        }
        if request.took > request.deadline + DELIVERY_TIME {
            violations.push(format!("{id} ended after its deadline"));
        }
        if request.once && request.executions > 1 {
            violations.push(format!("{id} ran {} times", request.executions));
        }
    }
}

fn check_versions(trace: &Trace, violations: &mut Vec<String>) {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in &trace.rules {
        let before = highest.entry(&seen.node).or_default();
        if seen.version < *before {
            violations.push(format!("{} went back to rules {}", seen.node, seen.version));
        }
        *before = seen.version.max(*before);
        let due = trace
            .accepted
            .iter()
            .filter(|(at, _)| *at + RULES_APPLY_TIME < seen.at);
        let due = due.map(|(_, version)| *version).max().unwrap_or(0);
        if seen.reachable && seen.version < due {
            violations.push(format!(
                "{} still has rules {}, not {due}",
                seen.node, seen.version
            ));
        }
    }
    violations.dedup();
}
