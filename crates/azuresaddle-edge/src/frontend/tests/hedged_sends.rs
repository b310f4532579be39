//! Tests of idempotent requests that are sent to another target while the first one is silent.

use std::time::Duration;

use azuresaddle_core::byte_budget::HeldFor;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::caller::{head, read_all, send, time_limit};
use super::scripted_targets::{Reply, ScriptedTargets};
use super::test_node::{TestNode, TestOptions};
use crate::shutdown::ShutdownStage;

/// Silence after which another target gets the request as well: 1.6 times the latency target of 300 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(480);

/// Time of an answer from a target that is silent for 1.3 s beyond the limit.
const LATE: Duration = Duration::from_millis(1780);

/// Usual time of an answer.
const USUAL: Duration = Duration::from_millis(20);

/// Time of an answer that is later than all others.
const LATER: Duration = Duration::from_secs(4);

/// An answer to a caller.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: String,
    /// Number of the send that was answered, if a target answered.
    body: String,
    took: Duration,
}

impl Answer {
    /// The answer with status 200 to the send with this number.
    fn ok(number: usize, took: Duration) -> Self {
        Self {
            status: "200".to_owned(),
            body: number.to_string(),
            took,
        }
    }
}

fn two_targets() -> TestNode {
    TestNode::open(TestOptions {
        has_second_target: true,
        ..TestOptions::default()
    })
}

fn three_targets(max_attempts: u32) -> TestNode {
    TestNode::open(TestOptions {
        has_second_target: true,
        has_third_target: true,
        max_attempts,
        ..TestOptions::default()
    })
}

/// Sends an idempotent request.
fn ask(node: &TestNode) -> JoinHandle<Answer> {
    ask_with(node, "")
}

fn ask_with(node: &TestNode, more: &str) -> JoinHandle<Answer> {
    let (connection, head) = (node.connect(), head("/idempotent/1", more));
    tokio::spawn(async move {
        let began = Instant::now();
        let answer = read_all(&mut send(connection, &head).await).await;
        let answer = String::from_utf8(answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        Answer {
            status: head.split(' ').nth(1).unwrap().to_owned(),
            body: body.to_owned(),
            took: began.elapsed(),
        }
    })
}

/// The metric that counts the sends with this result.
fn sends(result: &str, count: u32) -> String {
    format!("azuresaddle_sends_total{{service=\"svc\",result=\"{result}\"}} {count}")
}

/// Guards against a request that leaves a silent target for one that is silent as well, and loses the answer of the first
/// one.
#[tokio::test(start_paused = true)]
async fn a_silent_target_that_answers_first_serves_its_request() {
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE), Reply::Ok(LATER)]);
    assert_eq!(ask(&node).await.unwrap(), Answer::ok(0, LATE));
    let seen = targets.seen();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[1].at - seen[0].at, SILENCE_LIMIT);
    assert_ne!(seen[0].target, seen[1].target);
    assert_eq!(node.held(HeldFor::Caller), 0);
}

/// Guards against targets that are blamed for a silence of all, and get nothing once they go on.
#[tokio::test(start_paused = true)]
async fn a_silence_of_all_targets_opens_no_breaker() {
    let mut node = two_targets();
    // Two requests to each target, and each of them to the other one as well.
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE); 8]);
    let asks: Vec<_> = (0..4).map(|_| ask(&node)).collect();
    for asked in asks {
        let answer = asked.await.unwrap();
        assert_eq!((&*answer.status, answer.took), ("200", LATE));
    }
    assert!(!node.has_metric_of("azuresaddle_sends_total{service=\"svc\",result=\"silent\"}"));
    assert!(node.has_metric(&sends("cancelled", 4)));
    let before = Instant::now();
    let asks = [ask(&node), ask(&node)];
    for asked in asks {
        assert_eq!(asked.await.unwrap().took, Duration::ZERO);
    }
    let new = targets.seen().split_off(8);
    assert_eq!(new.len(), 2);
    assert!(new.iter().all(|s| s.at == before), "sent at once");
    assert_ne!(new[0].target, new[1].target, "both targets are in use");
}

/// Guards against a target that is blamed for going on a moment after another one, both of which were silent.
#[tokio::test(start_paused = true)]
async fn a_target_that_would_answer_just_after_a_slow_one_is_not_blamed() {
    let mut node = two_targets();
    let silence_end = Duration::from_millis(880);
    let first = Reply::Ok(silence_end + USUAL);
    let second = Reply::Ok(silence_end - SILENCE_LIMIT);
    let usual = Reply::Ok(USUAL);
    let replies = [usual, usual, usual, usual, first, second];
    let _targets = ScriptedTargets::open(&mut node, &replies);
    // Both targets are known to answer soon.
    for _ in 0..2 {
        let asks = [ask(&node), ask(&node)];
        for asked in asks {
            assert_eq!(asked.await.unwrap().took, USUAL);
        }
    }
    assert_eq!(ask(&node).await.unwrap(), Answer::ok(5, silence_end));
    assert!(node.has_metric(&sends("cancelled", 1)));
    assert!(!node.has_metric_of("azuresaddle_sends_total{service=\"svc\",result=\"silent\"}"));
}

/// Guards against a dead silent target that holds its requests, or is not blamed.
#[tokio::test(start_paused = true)]
async fn a_dead_silent_target_is_replaced_in_time() {
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Never, Reply::Ok(USUAL)]);
    let answer = ask(&node).await.unwrap();
    assert_eq!(answer, Answer::ok(1, SILENCE_LIMIT + USUAL));
    assert!(node.has_metric(&sends("silent", 1)));
    assert!(node.has_metric(&sends("answered", 1)));
    sleep(Duration::from_millis(1)).await;
    let seen = targets.seen();
    assert_eq!(
        seen[0].cancelled_at,
        Some(seen[0].at + SILENCE_LIMIT + USUAL)
    );
}

/// Guards against the connection of a cancelled send that is used for another request.
#[tokio::test(start_paused = true)]
async fn the_connection_of_a_cancelled_send_is_closed() {
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE), Reply::Never]);
    assert_eq!(ask(&node).await.unwrap(), Answer::ok(0, LATE));
    sleep(Duration::from_millis(1)).await;
    let seen = targets.seen();
    assert_eq!(seen[1].cancelled_at, Some(seen[0].at + LATE));
    let answers = [ask(&node), ask(&node)];
    for answer in answers {
        assert_eq!(answer.await.unwrap().took, Duration::ZERO);
    }
}

/// Guards against a further send that fails and takes the first answer with it.
#[tokio::test(start_paused = true)]
async fn a_failed_replacement_does_not_lose_the_first_answer() {
    let failures = [
        Reply::Break(USUAL),
        Reply::Error(USUAL),
        Reply::NotRun(USUAL),
        Reply::Break(Duration::from_secs(1)),
    ];
    for failure in failures {
        let mut node = two_targets();
        let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE), failure]);
        let answer = ask(&node).await.unwrap();
        assert_eq!(answer, Answer::ok(0, LATE), "{failure:?}");
        assert_eq!(targets.seen().len(), 2, "{failure:?}");
    }
}

/// Guards against a silent target whose connection breaks and takes the further send with it.
#[tokio::test(start_paused = true)]
async fn a_silent_target_that_fails_does_not_lose_the_other_answer() {
    let at = SILENCE_LIMIT + USUAL;
    for failure in [Reply::Break(at), Reply::Error(at), Reply::NotRun(at)] {
        let mut node = two_targets();
        let _targets = ScriptedTargets::open(&mut node, &[failure, Reply::Ok(LATE)]);
        let answer = ask(&node).await.unwrap();
        assert_eq!(answer, Answer::ok(1, SILENCE_LIMIT + LATE), "{failure:?}");
    }
}

/// Guards against a request that waits on although both of its sends have failed.
#[tokio::test(start_paused = true)]
async fn a_request_ends_once_both_sends_have_failed() {
    let second = Duration::from_secs(1);
    let cases = [
        (Reply::Break(second), Reply::Break(USUAL), "502"),
        (Reply::Break(second), Reply::Error(USUAL), "500"),
        (Reply::Error(second), Reply::Break(USUAL), "500"),
        (Reply::Break(second), Reply::NotRun(USUAL), "502"),
        (Reply::NotRun(second), Reply::NotRun(USUAL), "503"),
    ];
    for (first, other, status) in cases {
        let mut node = two_targets();
        let _targets = ScriptedTargets::open(&mut node, &[first, other]);
        let answer = ask(&node).await.unwrap();
        assert_eq!(answer.status, status, "{first:?} {other:?}");
        assert_eq!(answer.took, second, "{first:?} {other:?}");
    }
}

/// Guards against a request that gets no answer at its deadline because two targets are silent.
#[tokio::test(start_paused = true)]
async fn a_request_whose_targets_are_all_silent_ends_at_its_deadline() {
    let mut node = two_targets();
    let _targets = ScriptedTargets::open(&mut node, &[Reply::Never; 2]);
    let limit = Duration::from_secs(2);
    let answer = ask_with(&node, &time_limit(limit)).await.unwrap();
    assert_eq!((&*answer.status, answer.took), ("504", limit));
    assert!(node.has_metric(&sends("silent", 2)));
}

/// Guards against a request that is refused as not run when its node stops, while a silent target may run it: the other
/// one has declined it.
#[tokio::test(start_paused = true)]
async fn a_declined_send_does_not_make_a_request_not_run_beside_another_one() {
    let declined = Reply::NotRun(USUAL);
    let first_declines = [Reply::NotRun(SILENCE_LIMIT + USUAL), Reply::Never];
    for replies in [[Reply::Never, declined], first_declines] {
        let mut node = two_targets();
        let _targets = ScriptedTargets::open(&mut node, &replies);
        let asked = ask(&node);
        sleep(Duration::from_secs(1)).await;
        node.shutdown.enter(ShutdownStage::Refusing);
        sleep(Duration::from_secs(1)).await;
        assert!(!asked.is_finished(), "{replies:?}");
        node.shutdown.enter(ShutdownStage::Ending);
        assert_eq!(asked.await.unwrap().status, "504", "{replies:?}");
        let metric = "azuresaddle_ended_by_stop_total{service=\"svc\",verdict=\"may-have-run\"} 1";
        assert!(node.has_metric(metric), "{replies:?}");
    }
}

/// Guards against the end of a process that leaves one of two sends running.
#[tokio::test(start_paused = true)]
async fn the_stop_of_a_node_cancels_both_sends() {
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Never; 2]);
    let asked = ask(&node);
    sleep(Duration::from_secs(1)).await;
    node.shutdown.enter(ShutdownStage::Refusing);
    node.shutdown.enter(ShutdownStage::Ending);
    let stopped_at = Instant::now();
    assert_eq!(asked.await.unwrap().status, "504");
    sleep(Duration::from_millis(1)).await;
    let cancelled: Vec<_> = targets.seen().iter().map(|s| s.cancelled_at).collect();
    assert_eq!(cancelled, [Some(stopped_at); 2]);
}

/// Guards against a crash that is not held against its request, since another send is still awaited.
#[tokio::test(start_paused = true)]
async fn a_crash_beside_another_send_is_recorded() {
    let mut node = two_targets();
    let break_off = Reply::Break(Duration::from_millis(100));
    let mut targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE), break_off]);
    let asked = ask(&node);
    sleep(SILENCE_LIMIT + Duration::from_millis(50)).await;
    targets.refuse_connections().await;
    assert_eq!(asked.await.unwrap(), Answer::ok(0, LATE));
    assert!(node.has_metric("azuresaddle_target_crashes_total{service=\"svc\"} 1"));
}

/// Guards against a third send that the route does not allow, or that is missing where the route allows it: the second
/// target is silent as well, or breaks off.
#[tokio::test(start_paused = true)]
async fn a_third_target_gets_the_request_only_if_the_route_allows_it() {
    let second = [Reply::Never, Reply::Break(SILENCE_LIMIT)];
    for reply in second {
        let replies = [Reply::Ok(LATE), reply, Reply::Ok(USUAL)];
        let mut node = three_targets(3);
        let targets = ScriptedTargets::open(&mut node, &replies);
        let answer = ask(&node).await.unwrap();
        let took = SILENCE_LIMIT * 2 + USUAL;
        assert_eq!(answer, Answer::ok(2, took), "{reply:?}");
        assert_eq!(targets.seen().len(), 3, "{reply:?}");
        let mut node = three_targets(2);
        let targets = ScriptedTargets::open(&mut node, &replies);
        let answer = ask(&node).await.unwrap();
        assert_eq!(answer, Answer::ok(0, LATE), "{reply:?}");
        assert_eq!(targets.seen().len(), 2, "{reply:?}");
    }
}

/// Guards against further sends beyond the retry budget: 0.7 of ten and of a tenth of the requests.
#[tokio::test(start_paused = true)]
async fn further_sends_stay_within_the_retry_budget() {
    const REQUESTS: usize = 20;
    const RETRIES: usize = 8;
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE); 2 * REQUESTS]);
    let asks: Vec<_> = (0..REQUESTS).map(|_| ask(&node)).collect();
    for asked in asks {
        let answer = asked.await.unwrap();
        assert_eq!((&*answer.status, answer.took), ("200", LATE));
    }
    assert_eq!(targets.seen().len(), REQUESTS + RETRIES);
}

/// Guards against further sends without a connection that end their requests, or take more than one retry each.
#[tokio::test(start_paused = true)]
async fn further_sends_without_a_connection_take_one_retry() {
    // As many as there are retries.
    const REQUESTS: u32 = 7;
    let mut node = two_targets();
    let mut targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE); REQUESTS as usize]);
    let asks: Vec<_> = (0..REQUESTS).map(|_| ask(&node)).collect();
    sleep(USUAL).await;
    targets.refuse_connections().await;
    for asked in asks {
        let answer = asked.await.unwrap();
        assert_eq!((&*answer.status, answer.took), ("200", LATE));
    }
    // A target is tried once more, since a kept connection may have been closed before the request was written.
    assert!(node.has_metric(&sends("not-sent", 2 * REQUESTS)));
}

/// Guards against a target that falls silent in the middle of its answer, and whose share of the memory keeps the answer of
/// another one from being read.
#[tokio::test(start_paused = true)]
async fn half_an_answer_gives_its_memory_to_a_whole_one() {
    // An account may hold a sixth of the memory, which is less than two of these answers.
    const MEMORY_MB: u64 = 6;
    const ANSWER_BYTES: usize = 700_000;
    let mut node = TestNode::open(TestOptions {
        memory_mb: MEMORY_MB,
        has_second_target: true,
        ..TestOptions::default()
    });
    let replies = [Reply::Half(ANSWER_BYTES), Reply::Large(USUAL, ANSWER_BYTES)];
    let _targets = ScriptedTargets::open(&mut node, &replies);
    let answer = ask(&node).await.unwrap();
    assert_eq!((&*answer.status, answer.body.len()), ("200", ANSWER_BYTES));
    assert_eq!(answer.took, SILENCE_LIMIT + USUAL);
    assert!(node.has_metric(&sends("no-room", 1)));
    assert_eq!(node.held(HeldFor::Caller), 0);
}

/// Guards against a request that may run once and is sent twice.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_is_sent_once() {
    let mut node = two_targets();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE)]);
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let answer = read_all(&mut caller).await;
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    assert_eq!(targets.seen().len(), 1);
}
