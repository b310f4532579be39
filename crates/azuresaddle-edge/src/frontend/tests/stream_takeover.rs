//! Tests of streams whose target is silent while another target is asked to take over.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use azuresaddle_core::byte_budget::HeldFor;
use azuresaddle_core::prelude::{ClientAccount, Listener};
use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::caller::{chunked_body, head, send, time_limit};
use super::scripted_targets::expected_target;
use super::target::read_head;
use super::test_node::{TestNode, TestOptions};

/// Events of a stream.
const EVENTS: u64 = 20;

/// Interval between them.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time without an event after which a caller leaves.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without an event after which a node asks another target: six times the pause target of the test's routes.
const SILENCE: Duration = Duration::from_millis(1200);

/// What a target does with a stream, step by step.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends this number of events.
    Events(u64),
    /// Sends nothing for a time.
    Pause(Duration),
    /// Sends the events that the caller does not have, and the end.
    Rest,
    /// Sends the first bytes of the next event.
    Half,
    /// Ends the answer.
    End,
    /// Answers that the request was not run.
    Decline,
    /// Closes the connection.
    Close,
    /// Sends nothing any more.
    Hang,
}

fn pause_ms(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

fn body() -> Vec<u8> {
    let events: String = (1..=EVENTS).map(event).collect();
    events.into_bytes()
}

fn is_whole(answer: &[u8]) -> bool {
    chunked_body(answer) == Some(body())
}

/// Writes an event; `false` if the node has closed the connection.
async fn write_event(stream: &mut DuplexStream, id: u64) -> bool {
    tokio::time::sleep(INTERVAL).await;
    let event = event(id);
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    stream.write_all(chunk.as_bytes()).await.is_ok()
}

/// Answers a request, whose head has been read, according to a script.
async fn answer(mut stream: DuplexStream, request: &str, script: Vec<Step>) {
    let header = format!("{}: ", headers::LAST_EVENT_ID);
    let last = request.lines().find_map(|l| l.strip_prefix(&header));
    let mut last: u64 = last.map_or(0, |id| id.parse().unwrap());
    let id = headers::ATTEMPT_ID;
    let mut head = format!("HTTP/1.1 200 OK\r\n{id}: 1\r\ntransfer-encoding: chunked\r\n\r\n");
    for step in script {
        let end = match step {
            Step::Events(count) => last + count,
            Step::Rest => EVENTS,
            Step::Pause(time) => {
                tokio::time::sleep(time).await;
                continue;
            }
            Step::Half => {
                let chunk = format!("{}4\r\nid: \r\n", std::mem::take(&mut head));
                let _ = stream.write_all(chunk.as_bytes()).await;
                continue;
            }
            Step::End => last,
            Step::Decline => {
                let not_run = headers::NOT_RUN;
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{id}: 1\r\n{not_run}: 1\r\ncontent-length: 0\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                return;
            }
            Step::Close => return,
            Step::Hang => std::future::pending().await,
        };
        let _ = stream.write_all(std::mem::take(&mut head).as_bytes()).await;
        while last < end {
            last += 1;
            if !write_event(&mut stream, last).await {
                return;
            }
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Reads an answer until the node closes the connection or the caller has had no byte for [`EVENT_TIMEOUT`].
async fn read_until_timeout(mut stream: DuplexStream) -> Vec<u8> {
    let mut read = Vec::new();
    let mut buf = [0; 512];
    while let Ok(Ok(count)) = timeout(EVENT_TIMEOUT, stream.read(&mut buf)).await {
        if count == 0 {
            break;
        }
        read.extend_from_slice(&buf[..count]);
    }
    read
}

/// Asks for one stream. The targets answer its sends with `scripts`, in order. Returns the answer and the number of sends.
async fn ask<const N: usize>(node: &mut TestNode, scripts: [Vec<Step>; N]) -> (Vec<u8>, usize) {
    let caller = send(node.connect(), &head("/resumable/1", "")).await;
    let sends = Arc::new(AtomicUsize::new(0));
    let targets = async {
        loop {
            let mut stream = node.target.accept().await.unwrap();
            let (sends, scripts) = (Arc::clone(&sends), scripts.clone());
            tokio::spawn(async move {
                // Nothing is sent on a connection that only checks whether the target accepts one.
                let request = read_head(&mut stream).await;
                let script = scripts.get(sends.fetch_add(1, Ordering::Relaxed));
                answer(stream, &request, script.cloned().unwrap_or_default()).await;
            });
        }
    };
    let answer = tokio::select! {
        answer = read_until_timeout(caller) => answer,
        () = targets => unreachable!(),
    };
    (answer, sends.load(Ordering::Relaxed))
}

fn two_engines() -> TestOptions {
    TestOptions {
        has_second_target: true,
        has_engines: true,
        ..TestOptions::default()
    }
}

fn silent_sends(node: &TestNode, count: u32) -> bool {
    let metric = format!("azuresaddle_sends_total{{service=\"svc\",result=\"silent\"}} {count}");
    node.has_metric(&metric)
}

/// Guards against a stream that leaves a silent target for one that sends nothing either, and whose caller leaves though the
/// first target goes on.
#[tokio::test(start_paused = true)]
async fn a_stream_keeps_its_silent_target_until_another_one_sends() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1300), Step::Rest];
    let second = vec![pause_ms(1500), Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
    // The target that goes on is not at fault.
    assert!(!silent_sends(&node, 1));
}

/// Guards against the same before the first event.
#[tokio::test(start_paused = true)]
async fn a_stream_that_has_not_begun_keeps_its_silent_target_until_another_one_sends() {
    let mut node = TestNode::open(two_engines());
    let first = vec![pause_ms(1700), Step::Rest];
    let second = vec![pause_ms(1600), Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
    assert!(!silent_sends(&node, 1));
}

/// Guards against a stream that stays at a target which sends nothing any more.
#[tokio::test(start_paused = true)]
async fn a_target_that_stays_silent_is_replaced() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), Step::Hang];
    let second = vec![pause_ms(300), Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
    assert!(silent_sends(&node, 1));
}

/// Guards against a stream that is cut since the target that was to take over fails.
#[tokio::test(start_paused = true)]
async fn a_replacement_that_fails_leaves_the_stream_at_its_target() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1600), Step::Rest];
    let second = vec![pause_ms(100), Step::Close];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
}

/// Guards against a stream that is cut since its silent target breaks off while another one already works on it.
#[tokio::test(start_paused = true)]
async fn a_silent_target_that_breaks_off_leaves_the_stream_to_its_replacement() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1400), Step::Close];
    let second = vec![pause_ms(500), Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
}

/// Guards against engines that get no new streams since all of them were silent for a while.
#[tokio::test(start_paused = true)]
async fn new_streams_are_not_refused_after_a_silence_of_all_engines() {
    let mut node = TestNode::open(two_engines());
    let began = Instant::now();
    let silence = INTERVAL * 5..INTERVAL * 5 + SILENCE + INTERVAL * 4;
    let node_target = async {
        loop {
            let mut stream = node.target.accept().await.unwrap();
            let silence = silence.clone();
            tokio::spawn(async move {
                let request = read_head(&mut stream).await;
                // Requests that arrive in the silence are read after it.
                if silence.contains(&began.elapsed()) {
                    tokio::time::sleep_until(began + silence.end).await;
                }
                let script = if began.elapsed() < silence.start {
                    let pause = Step::Pause(silence.end - silence.start);
                    vec![Step::Events(4), pause, Step::Rest]
                } else {
                    vec![Step::Rest]
                };
                answer(stream, &request, script).await;
            });
        }
    };
    let service = Arc::clone(&node.service);
    let callers = async move {
        let mut callers = JoinSet::new();
        for number in 0..30 {
            let connection = TestNode::connect_to(&service);
            callers.spawn(async move {
                // Two thirds run when the silence begins; the others arrive when it ends.
                if number >= 20 {
                    tokio::time::sleep(INTERVAL * 5 + SILENCE + INTERVAL * 3).await;
                }
                read_until_timeout(send(connection, &head("/resumable/1", "")).await).await
            });
        }
        callers.join_all().await
    };
    let answers = tokio::select! {
        answers = callers => answers,
        () = node_target => unreachable!(),
    };
    let whole = answers.iter().filter(|a| is_whole(a));
    assert_eq!(whole.count(), answers.len());
}

fn three_targets(has_engines: bool, max_attempts: u32) -> TestOptions {
    TestOptions {
        has_second_target: true,
        has_third_target: true,
        has_engines,
        max_attempts,
        ..TestOptions::default()
    }
}

/// Guards against a replacement that is dropped for a part of an event, after which the silent target sends nothing more.
#[tokio::test(start_paused = true)]
async fn a_part_of_an_event_does_not_end_the_search_for_a_replacement() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1300), Step::Half, Step::Hang];
    let second = vec![pause_ms(300), Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
}

/// Guards against a stream that leaves its target for one whose answer ends inside its first event.
#[tokio::test(start_paused = true)]
async fn a_replacement_that_ends_inside_an_event_leaves_the_stream_at_its_target() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1600), Step::Rest];
    let second = vec![pause_ms(100), Step::Half, Step::End];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer));
    assert_eq!(sends, 2);
}

/// Guards against a stream that ends as complete since the answer of another target has no events.
#[tokio::test(start_paused = true)]
async fn a_replacement_without_events_leaves_the_stream_at_its_target() {
    let mut node = TestNode::open(two_engines());
    let first = vec![Step::Events(5), pause_ms(1600), Step::Rest];
    let second = vec![pause_ms(100), Step::End];
    let (answer, sends) = ask(&mut node, [first, second]).await;
    assert!(is_whole(&answer), "{}", String::from_utf8_lossy(&answer));
    assert_eq!(sends, 2);
}

/// Asks three targets, of which the first hangs midway and the second declines.
async fn ask_after_a_decline(has_engines: bool) -> (Vec<u8>, usize) {
    let mut node = TestNode::open(three_targets(has_engines, 2));
    let first = vec![Step::Events(5), Step::Hang];
    let second = vec![Step::Decline];
    let third = vec![pause_ms(400), Step::Rest];
    ask(&mut node, [first, second, third]).await
}

/// Guards against a search that waits out the timeout of a target that has already declined.
#[tokio::test(start_paused = true)]
async fn a_replacement_that_declines_is_followed_by_another_one() {
    let (answer, sends) = ask_after_a_decline(true).await;
    assert_eq!(sends, 3);
    assert!(is_whole(&answer));
}

/// Guards against the same where the targets are no engines and the timeout is the request's deadline.
#[tokio::test(start_paused = true)]
async fn a_plain_replacement_that_declines_is_followed_by_another_one() {
    let (answer, sends) = ask_after_a_decline(false).await;
    assert_eq!(sends, 3);
    assert!(is_whole(&answer));
}

/// Guards against a stream whose silent target breaks off and that waits for a silent replacement only.
#[tokio::test(start_paused = true)]
async fn a_silent_replacement_is_replaced_when_the_first_target_has_broken_off() {
    let mut node = TestNode::open(three_targets(true, 3));
    let first = vec![Step::Events(5), pause_ms(1300), Step::Close];
    let second = vec![Step::Hang];
    let third = vec![Step::Rest];
    let (answer, sends) = ask(&mut node, [first, second, third]).await;
    assert_eq!(sends, 3);
    assert!(is_whole(&answer));
}

/// Guards against a stream that was asked for elsewhere in a silence and is cut when its target breaks off later.
#[tokio::test(start_paused = true)]
async fn a_target_that_went_on_and_breaks_off_is_replaced() {
    let mut node = TestNode::open(two_engines());
    let first = vec![
        Step::Events(5),
        pause_ms(1300),
        Step::Events(3),
        Step::Close,
    ];
    let (answer, _) = ask(&mut node, [first, vec![Step::Hang], vec![Step::Rest]]).await;
    assert!(is_whole(&answer));
}

/// Guards against engines that get no new streams since the deadlines of others ended in a silence of all engines.
#[tokio::test(start_paused = true)]
async fn deadlines_in_a_silence_of_all_engines_hold_no_new_streams_back() {
    let mut node = TestNode::open(two_engines());
    let silence_end = Instant::now() + Duration::from_millis(3200);
    let service = Arc::clone(&node.service);
    let targets = async {
        loop {
            let mut stream = node.target.accept().await.unwrap();
            tokio::spawn(async move {
                let request = read_head(&mut stream).await;
                let script = if Instant::now() < silence_end {
                    let events = [Step::Events(1), pause_ms(900)].repeat(3);
                    [events, vec![pause_ms(400), Step::Rest]].concat()
                } else {
                    vec![Step::Rest]
                };
                answer(stream, &request, script).await;
            });
        }
    };
    let callers = async move {
        let limit = time_limit(Duration::from_millis(3000));
        let mut short = JoinSet::new();
        for _ in 0..16 {
            let request = head("/resumable/1", &limit);
            let connection = TestNode::connect_to(&service);
            short.spawn(async move { read_until_timeout(send(connection, &request).await).await });
        }
        // None of them is refused, and none is whole.
        for answer in short.join_all().await {
            assert!(answer.starts_with(b"HTTP/1.1 200") && !is_whole(&answer));
        }
        tokio::time::sleep_until(silence_end).await;
        let caller = send(TestNode::connect_to(&service), &head("/resumable/1", "")).await;
        let answer = read_until_timeout(caller).await;
        (answer, silence_end.elapsed())
    };
    let (answer, took) = tokio::select! {
        answer = callers => answer,
        () = targets => unreachable!(),
    };
    assert!(is_whole(&answer), "{}", String::from_utf8_lossy(&answer));
    // As long as on engines that no stream has been sent to.
    assert!(took < INTERVAL * (EVENTS as u32 + 2), "{took:?}");
}

/// Guards against a target that counts as silent, and requests to others, while the node has no memory for its first event.
#[tokio::test(start_paused = true)]
async fn a_first_event_that_waits_for_memory_is_no_silence() {
    let mut node = TestNode::open(two_engines());
    let budget = node.budget().account(&ClientAccount::new("a"));
    let mut permits = Vec::new();
    while let Some(permit) = budget.try_take(HeldFor::Caller, 64) {
        permits.push(permit);
    }
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        drop(permits);
    });
    let (answer, sends) = ask(&mut node, [vec![Step::Rest], vec![Step::Rest]]).await;
    assert!(is_whole(&answer), "{}", String::from_utf8_lossy(&answer));
    assert_eq!(sends, 1);
}

/// Guards against a long prompt that is refused since its helpers are silent while memory is reserved on them.
#[tokio::test(start_paused = true)]
async fn a_reservation_outlasts_a_silence_of_all_engines() {
    let mut node = TestNode::open(TestOptions {
        memory_tokens: 50_000,
        ..three_targets(true, 2)
    });
    let silence_end = Instant::now() + Duration::from_millis(1000);
    let counts = format!("{}: 80000,100\r\n", headers::TOKEN_COUNTS);
    let caller = send(node.connect(), &head("/resumable/1", &counts)).await;
    let targets = async {
        loop {
            let mut stream = node.target.accept().await.unwrap();
            tokio::spawn(async move {
                let request = read_head(&mut stream).await;
                tokio::time::sleep_until(silence_end).await;
                if request.starts_with("POST /order") {
                    let answer =
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
                    let _ = stream.write_all(answer.as_bytes()).await;
                    let _ = stream.read_to_end(&mut Vec::new()).await;
                } else {
                    answer(stream, &request, vec![Step::Rest]).await;
                }
            });
        }
    };
    let answer = tokio::select! {
        answer = read_until_timeout(caller) => answer,
        () = targets => unreachable!(),
    };
    assert!(is_whole(&answer), "{}", String::from_utf8_lossy(&answer));
}

/// Asks three engines, which decline the first sends.
async fn ask_after_declines<const N: usize>(declines: usize) -> (Vec<u8>, usize) {
    let mut node = TestNode::open(three_targets(true, 2));
    let scripts: [Vec<Step>; N] = std::array::from_fn(|send| {
        if send < declines {
            vec![Step::Decline]
        } else {
            vec![Step::Rest]
        }
    });
    ask(&mut node, scripts).await
}

/// Guards against a stream that is refused after two seconds without a further send, though engines that were full for a moment
/// have room again.
#[tokio::test(start_paused = true)]
async fn a_stream_that_all_engines_declined_is_sent_again() {
    let (answer, sends) = ask_after_declines::<5>(3).await;
    assert_eq!(sends, 4);
    assert!(is_whole(&answer));
}

/// Guards against a stream that is sent for ever to engines that are full.
#[tokio::test(start_paused = true)]
async fn a_stream_that_all_engines_decline_again_is_refused() {
    let (answer, sends) = ask_after_declines::<9>(9).await;
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(sends, 6);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against engines that get no new streams since they go on a moment after another one, after a silence of all.
#[tokio::test(start_paused = true)]
async fn new_streams_are_not_refused_after_engines_go_on_one_after_the_other() {
    const LAG: Duration = Duration::from_millis(150);
    let mut node = TestNode::open(two_engines());
    let began = Instant::now();
    // After the requests have been sent to the other engine as well.
    let first_ends = began + Duration::from_secs(2);
    let targets = async {
        loop {
            let mut stream = node.target.accept().await.unwrap();
            tokio::spawn(async move {
                let request = read_head(&mut stream).await;
                let is_first = expected_target(&request) == "t1";
                let ends = first_ends + if is_first { Duration::ZERO } else { LAG };
                let script = if began.elapsed() < INTERVAL * 4 {
                    let silent_at = Instant::now() + INTERVAL * 4;
                    vec![Step::Events(4), Step::Pause(ends - silent_at), Step::Rest]
                } else {
                    // Requests that arrive in the silence are read after it.
                    tokio::time::sleep_until(ends).await;
                    vec![Step::Rest]
                };
                answer(stream, &request, script).await;
            });
        }
    };
    let service = Arc::clone(&node.service);
    let new_at = first_ends + LAG + INTERVAL * 2;
    let callers = async move {
        let mut callers = JoinSet::new();
        for number in 0..28 {
            let connection = TestNode::connect_to(&service);
            callers.spawn(async move {
                if number >= 12 {
                    tokio::time::sleep_until(new_at).await;
                }
                read_until_timeout(send(connection, &head("/resumable/1", "")).await).await
            });
        }
        callers.join_all().await
    };
    let answers = tokio::select! {
        answers = callers => answers,
        () = targets => unreachable!(),
    };
    let whole = answers.iter().filter(|a| is_whole(a));
    assert_eq!(whole.count(), answers.len());
}
