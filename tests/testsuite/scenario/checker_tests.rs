//! The checker detects runs that violated a guarantee.

use std::time::Duration;

use azuresaddle_core::prelude::*;

use super::checker::violated_guarantees;
use super::trace::{EndedRequest, LateStart, RequestEnd, RulesObservation, Trace};

fn request(end: RequestEnd, executions: u64) -> Trace {
    let mut trace = Trace::default();
    let ended = EndedRequest {
        deadline: Duration::from_secs(10),
        took: Duration::from_secs(1),
        end,
        executions,
        once: true,
    };
    trace.requests.insert("r".to_owned(), ended);
    trace
}

fn not_run() -> RequestEnd {
    RequestEnd::Failed {
        problem: "x".to_owned(),
        verdict: Verdict::NotRun,
        retry_after: true,
    }
}

fn seen(at: u64, version: u64) -> RulesObservation {
    RulesObservation {
        at: Duration::from_secs(at),
        node: "n1".to_owned(),
        version,
        reachable: true,
    }
}

#[test]
fn accepts_a_good_run() {
    let mut trace = request(RequestEnd::Whole, 1);
    trace.accepted.push((Duration::from_secs(1), 1));
    trace.rules.extend([seen(2, 0), seen(5, 1), seen(9, 1)]);
    assert_eq!(violated_guarantees(&trace), Vec::<String>::new());
}

#[test]
fn finds_lost_crossed_and_doubled_answers() {
    for end in [RequestEnd::Lost, RequestEnd::Crossed, RequestEnd::Doubled] {
        assert_eq!(violated_guarantees(&request(end, 1)).len(), 1);
    }
}

#[test]
fn finds_a_false_not_run() {
    assert_eq!(violated_guarantees(&request(not_run(), 1)).len(), 1);
    assert_eq!(violated_guarantees(&request(not_run(), 0)).len(), 0);
}

#[test]
fn finds_a_second_execution() {
    assert_eq!(violated_guarantees(&request(RequestEnd::Whole, 2)).len(), 1);
}

#[test]
fn finds_a_late_answer() {
    let mut trace = request(RequestEnd::Whole, 1);
    trace.requests.get_mut("r").expect("inserted above").took = Duration::from_secs(11);
    assert_eq!(violated_guarantees(&trace).len(), 1);
}

#[test]
fn finds_rules_that_revert_or_lag() {
    let mut trace = Trace {
        rules: vec![seen(1, 2), seen(2, 1)],
        ..Trace::default()
    };
    assert_eq!(violated_guarantees(&trace).len(), 1);
    trace.rules = vec![seen(6, 0)];
    trace.accepted.push((Duration::from_secs(1), 1));
    assert_eq!(violated_guarantees(&trace).len(), 1);
}

#[test]
fn finds_leaks_and_late_starts() {
    let trace = Trace {
        late_starts: vec![LateStart {
            target: "e1".to_owned(),
            starts: 1,
        }],
        memory_left: 1,
        ..Trace::default()
    };
    assert_eq!(violated_guarantees(&trace).len(), 2);
}
