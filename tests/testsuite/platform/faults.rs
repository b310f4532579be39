//! Targets that misbehave: requests still run at most once where required, answers are complete, and refused requests
//! have not run.

use std::time::Duration;

use azuresaddle_standin::platform::{Caller, CallerError, TargetFault};
use nix::sys::signal::Signal;

use super::support::{ask, fleet, plain, status, stream};

/// Two plain targets lose answers until their circuit breakers open, then restart. The failures must not count against
/// the restarted targets, and idle connections to their earlier processes must not be reused.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_restarted_under_its_name_serves_at_once() {
    let mut fleet = fleet("again-born", 1).await;
    let node = fleet.nodes[0].callers_addr();
    for n in 0..2 {
        fleet.platform.plain[n].set_fault(TargetFault::AnswersLost);
    }
    for _ in 0..8 {
        let _ = Caller::default().ask(node, &plain("/post/1")).await;
    }
    for n in 0..2 {
        fleet.platform.restart_plain(n).await.unwrap();
    }
    for n in 0..4 {
        fleet.platform.restart_engine(n).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..20 {
        let asked = plain("/post/1");
        assert_eq!(status(&fleet.nodes[0], &asked).await, 200);
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
    }
    let answer = ask(&fleet.nodes[0], &stream("/ask/1", 2000, 4)).await;
    assert_eq!(answer.unwrap().status, 200);
}

/// Another writer adds store entries before, between and after those of the targets, and overwrites the entry of one
/// target until that target writes it again.
#[tokio::test(flavor = "multi_thread")]
async fn store_entries_of_other_writers_hide_no_target() {
    let fleet = fleet("foreign", 1).await;
    for (key, value) in [
        ("servers/", "{}"),
        ("servers/ a?b&c=%41#", "not JSON"),
        ("servers/i-0000", r#"{"service":"desk","address":5}"#),
        ("servers/\u{7f}\u{e9}", r#"{"service":"desk"}"#),
        ("servers/zz", "\u{0}\u{1}"),
        ("op/config2", "{}"),
    ] {
        fleet.platform.store.put(key, value.to_owned());
    }
    // More than one page of entries, so that the next page starts after such a key.
    for n in 0..600 {
        let key = format!("servers/ &prefix=x {n}");
        fleet.platform.store.put(&key, "odd".to_owned());
    }
    let hidden = fleet.platform.plain[0].clone();
    let key = format!("servers/{}", hidden.id());
    fleet.platform.store.put(&key, "[]".to_owned());
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..10 {
        assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 200);
        let answer = ask(&fleet.nodes[0], &stream("/ask/1", 2000, 2)).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    // A restarted node reads all of these entries in a listing.
    let mut fleet = fleet;
    fleet.nodes[0].signal(Signal::SIGKILL);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.nodes[0].start().unwrap();
    fleet.nodes[0].wait_until_ready().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let fleet = fleet("once", 1).await;
    for target in &fleet.platform.plain {
        target.set_fault(TargetFault::AnswersLost);
    }
    let asked = plain("/post/1");
    assert_eq!(status(&fleet.nodes[0], &asked).await, 502);
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_sent_to_another_target() {
    let fleet = fleet("again", 1).await;
    fleet.platform.plain[0].set_fault(TargetFault::Silent);
    for _ in 0..6 {
        assert_eq!(status(&fleet.nodes[0], &plain("/note/1")).await, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_has_not_run_and_gets_a_retry_after() {
    let fleet = fleet("refused", 1).await;
    for target in fleet.platform.plain.iter().chain(&fleet.platform.engines) {
        target.set_fault(TargetFault::DeclinesAll);
    }
    for asked in [plain("/post/1"), stream("/ask-once/1", 1000, 2)] {
        let answer = ask(&fleet.nodes[0], &asked).await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has_retry_after);
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_not_forwarded() {
    let fleet = fleet("crossed", 1).await;
    for target in &fleet.platform.plain {
        target.set_fault(TargetFault::WrongAttemptId);
    }
    let asked = plain("/post/1");
    assert_eq!(status(&fleet.nodes[0], &asked).await, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_on_another_engine_within_one_answer() {
    let fleet = fleet("resume", 1).await;
    // Three of the engines break off inside the second event; the remaining one is sound.
    for engine in &fleet.platform.engines[..3] {
        engine.set_fault(TargetFault::AbortsAnswers);
    }
    let mut resumed = 0;
    for _ in 0..6 {
        let asked = stream("/ask/1", 1500, 6);
        if ask(&fleet.nodes[0], &asked).await.is_ok() {
            resumed += u32::from(fleet.platform.runs.of(&asked.attempt).count == 2);
        }
    }
    assert!(resumed >= 1, "no stream went on elsewhere");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_resume_is_visibly_incomplete() {
    let fleet = fleet("incomplete", 1).await;
    for engine in &fleet.platform.engines {
        engine.set_fault(TargetFault::AbortsAnswers);
    }
    let asked = stream("/ask-once/1", 1500, 6);
    assert_eq!(
        ask(&fleet.nodes[0], &asked).await,
        Err(CallerError::BrokenOff)
    );
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_delays_a_stream_by_less_than_two_seconds() {
    let fleet = fleet("silent", 1).await;
    fleet.platform.engines[0].set_fault(TargetFault::Silent);
    for _ in 0..8 {
        let mut asked = stream("/ask/1", 1500, 3);
        asked.timeout = Duration::from_millis(1900);
        assert_eq!(status(&fleet.nodes[0], &asked).await, 200);
    }
}

/// A slow target may still be working, so the node waits for an answer that cannot resume on another target.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_target_does_not_end_answers_that_cannot_resume_elsewhere() {
    let fleet = fleet("stalls", 1).await;
    for engine in &fleet.platform.engines {
        engine.set_fault(TargetFault::Stalls);
    }
    for path in ["/ask-once/1", "/ask/1"] {
        let asked = stream(path, 1000, 2);
        assert_eq!(status(&fleet.nodes[0], &asked).await, 200, "{path}");
    }
}
