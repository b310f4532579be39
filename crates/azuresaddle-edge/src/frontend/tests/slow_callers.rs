//! Tests of callers that pause, read slowly or stop reading.

use std::time::Duration;

use azuresaddle_core::byte_budget::HeldFor;
use azuresaddle_core::deployment::RequestLimits;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

use super::caller::{chunked_body, head, read_all, read_some, send, time_limit};
use super::target::{Events, accept_request, plain_head};
use super::test_node::{TestNode, TestOptions};

/// The usual answer to a prompt.
const ANSWER: Events = Events {
    count: 80,
    length: 500,
    interval: Duration::from_millis(15),
};

/// An answer that is longer than what waits for a caller.
const LONG_ANSWER: Events = Events {
    count: 1000,
    length: 1000,
    interval: Duration::from_millis(1),
};

/// Guards against an engine that is stalled by a caller's pause: with a bound of some chunks, the answer does not fit into
/// the node, and the target waits for the caller.
#[tokio::test(start_paused = true)]
async fn a_caller_that_pauses_does_not_stall_the_target() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let ask = async {
        let mut answer = read_some(&mut caller, 4000).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let resumed = Instant::now();
        answer.extend(read_all(&mut caller).await);
        (answer, resumed)
    };
    let ((answer, resumed), written) = tokio::join!(ask, ANSWER.answer_one(&mut node.target));
    assert_eq!(written.count, ANSWER.count);
    assert!(written.at < resumed, "{:?}", written.at - resumed);
    assert_eq!(chunked_body(&answer), Some(ANSWER.body()));
    assert_eq!(node.held(HeldFor::Caller), 0);
}

/// Guards against an engine that is held by a caller which never reads, until the target itself aborts the answer.
#[tokio::test(start_paused = true)]
async fn a_caller_that_never_reads_is_disconnected_and_frees_the_target() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let began = Instant::now();
    let written = LONG_ANSWER.answer_one(&mut node.target).await;
    let took = written.at - began;
    assert!(written.count < 300, "{written:?}");
    // The buffer is full after about 270 events.
    assert!(took > Duration::from_millis(1500), "{took:?}");
    assert!(took < Duration::from_millis(2000), "{took:?}");
    let answer = read_all(&mut caller).await;
    assert_eq!(chunked_body(&answer), None, "the answer has an end");
    assert_eq!(node.held(HeldFor::Caller), 0);
    let metric = "azuresaddle_slow_readers_total{side=\"caller\"} 1";
    assert!(node.has_metric(metric));
}

/// Guards against bytes that wait in the library's write buffers and are not counted.
#[tokio::test(start_paused = true)]
async fn what_waits_for_a_caller_is_bounded_and_counted() {
    let mut node = TestNode::open(TestOptions::default());
    let _caller = send(node.connect(), &head("/events/1", "")).await;
    let budget = node.budget().clone();
    let answer = LONG_ANSWER.answer_one(&mut node.target);
    let watch = tokio::time::timeout(Duration::from_millis(1500), answer).await;
    assert!(watch.is_err(), "the whole answer was taken");
    let held = budget.held(HeldFor::Caller);
    // The node and the connection to the target buffer the rest of what the target has written.
    assert!((240 << 10..=256 << 10).contains(&held), "{held}");
    assert!(node.has_metric(&format!("azuresaddle_held_bytes{{for=\"caller\"}} {held}")));
}

/// Guards against a limit on the time of an answer instead of the time without progress.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_slowly_but_steadily_gets_the_whole_answer() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let ask = async {
        let mut answer = Vec::new();
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(1200)).await;
            answer.extend(read_some(&mut caller, 4000).await);
        }
        answer.extend(read_all(&mut caller).await);
        answer
    };
    let (answer, written) = tokio::join!(ask, LONG_ANSWER.answer_one(&mut node.target));
    assert_eq!(written.count, LONG_ANSWER.count);
    assert_eq!(chunked_body(&answer), Some(LONG_ANSWER.body()));
}

/// Runs a test that hangs if it fails: a task that never yields can't be stopped by the runtime's clock.
fn run_with_watchdog(test: impl Future<Output = ()> + Send + 'static) {
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(test);
        // The receiver is gone if the test took too long.
        let _ = tx.send(());
    });
    let ended = rx.recv_timeout(Duration::from_secs(20));
    assert!(ended.is_ok(), "the test failed or hangs");
}

/// Answers one plain request with a body of a megabyte. Returns the connection, which is closed when it is dropped.
async fn answer_long(node: &mut TestNode) -> DuplexStream {
    let mut target = accept_request(&mut node.target).await;
    let head = plain_head(1_000_000);
    target.write_all(head.as_bytes()).await.unwrap();
    target.write_all(&vec![b'x'; 1_000_000]).await.unwrap();
    target
}

/// Reads the rest of an answer, of which `left` bytes are left, at 40 KB a second.
async fn read_slowly(caller: &mut DuplexStream, mut left: usize) {
    while left > 0 {
        left -= read_some(caller, left.min(4000)).await.len();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a caller that reads its answer for longer than the idle timeout and hangs the node: the connection counted
/// as idle while the answer was written, and its task closed it again and again without yielding.
#[test]
fn a_caller_that_reads_past_the_idle_timeout_does_not_hang_the_node() {
    run_with_watchdog(async {
        let mut node = TestNode::open(TestOptions::default());
        let mut caller = send(node.connect(), &head("/plain/1", "")).await;
        drop(answer_long(&mut node).await);
        let idle_timeout = RequestLimits::default().idle_timeout;
        let began = Instant::now();
        read_slowly(&mut caller, 1_000_000).await;
        assert!(began.elapsed() > idle_timeout);
        // The head of the answer is left.
        assert!(read_all(&mut caller).await.len() < 1000);
    });
}

/// Guards against a connection that is closed by the idle timeout although its caller has only just read the answer.
#[test]
fn the_idle_timeout_begins_when_the_answer_is_written() {
    run_with_watchdog(async {
        let mut node = TestNode::open(TestOptions::default());
        let request = head("/plain/1", "").replace("connection: close\r\n", "");
        let mut caller = send(node.connect(), &request).await;
        drop(answer_long(&mut node).await);
        read_slowly(&mut caller, 1_000_000).await;
        let idle_timeout = RequestLimits::default().idle_timeout;
        tokio::time::sleep(idle_timeout - Duration::from_secs(1)).await;
        caller.write_all(request.as_bytes()).await.unwrap();
        drop(answer_long(&mut node).await);
        tokio::time::sleep(idle_timeout + Duration::from_secs(1)).await;
        // Both answers, then the connection is closed.
        assert!(read_all(&mut caller).await.len() > 1_000_000);
    });
}

/// Guards against an answer that is ready and is withheld from a caller that returns late, and against one that is kept
/// for a caller that does not return.
#[tokio::test(start_paused = true)]
async fn a_buffered_answer_is_kept_until_the_deadline() {
    for (pause, is_kept) in [(8, true), (12, false)] {
        let mut node = TestNode::open(TestOptions::default());
        let limit = time_limit(Duration::from_secs(10));
        let mut caller = send(node.connect(), &head("/events/1", &limit)).await;
        ANSWER.answer_one(&mut node.target).await;
        tokio::time::sleep(Duration::from_secs(pause)).await;
        assert_eq!(node.held(HeldFor::Caller) > 0, is_kept);
        let answer = read_all(&mut caller).await;
        assert_eq!(chunked_body(&answer).is_some(), is_kept);
    }
}

/// Guards against a complete answer that is not counted once it is handed to the connection.
#[tokio::test(start_paused = true)]
async fn an_answer_of_a_plain_target_is_counted_until_it_is_read() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let _target = answer_long(&mut node).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(node.held(HeldFor::Caller), 1_000_000);
    let answer = read_all(&mut caller).await;
    assert!(answer.len() > 1_000_000);
    assert_eq!(node.held(HeldFor::Caller), 0);
}
