//! Tests of prompts that are too large for one engine, some of whose helpers are silent.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::caller::{chunked_body, head, send};
use super::scripted_targets::expected_target;
use super::target::{chunked_head, event_chunk, read_head};
use super::test_node::{TestNode, TestOptions};
use crate::control::tests::memory_network::memory_network;

/// Time without an event after which a caller leaves.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a helper may be silent after another one has answered.
const LAG: Duration = Duration::from_millis(400);

/// A silence that does not end in a test.
const FOREVER: Duration = Duration::from_secs(3600);

/// What the targets saw.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Orders that reserve memory or renew a reservation: the helper, and when.
    reserved: Vec<(String, Instant)>,
    /// Orders that release memory.
    released: Vec<(String, Instant)>,
    /// Targets that got the request itself.
    runs: Vec<String>,
}

/// The engines of a node.
struct Engines {
    node: TestNode,
    seen: Arc<Mutex<Seen>>,
    _task: JoinHandle<()>,
}

#[derive(Clone)]
struct Script {
    /// How long the helpers are silent from the start, in the order of their first reservations.
    silences: Vec<Duration>,
    /// Time after which an engine answers the request itself.
    answer_after: Duration,
    /// Whether the first engine that gets the request closes the connection instead.
    is_first_run_broken: bool,
    began: Instant,
}

impl Script {
    fn new<const N: usize>(silences: [Duration; N], answer_after: Duration) -> Self {
        Self {
            silences: silences.to_vec(),
            answer_after,
            is_first_run_broken: false,
            began: Instant::now(),
        }
    }
}

impl Engines {
    fn open(mut node: TestNode, script: Script) -> Self {
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let (_, unused) = memory_network(node.target.local_addr());
        let mut listener = std::mem::replace(&mut node.target, unused);
        let seen_there = Arc::clone(&seen);
        let task = tokio::spawn(async move {
            while let Ok(stream) = listener.accept().await {
                tokio::spawn(serve(stream, script.clone(), Arc::clone(&seen_there)));
            }
        });
        Self {
            node,
            seen,
            _task: task,
        }
    }

    fn seen(&self) -> Seen {
        self.seen.lock().unwrap().clone()
    }
}

/// Answers all requests on a connection.
async fn serve(mut stream: DuplexStream, script: Script, seen: Arc<Mutex<Seen>>) {
    loop {
        // Nothing is sent on a connection that only checks whether the target accepts one.
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let target = expected_target(&request);
        if !request.starts_with("POST /order") {
            let runs = {
                let mut seen = seen.lock().unwrap();
                seen.runs.push(target);
                seen.runs.len()
            };
            if script.is_first_run_broken && runs == 1 {
                return;
            }
            sleep(script.answer_after).await;
            let answer = chunked_head() + &event_chunk(1) + "0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            continue;
        }
        let silent_until = {
            let mut seen = seen.lock().unwrap();
            let orders = if request.contains("release") {
                &mut seen.released
            } else {
                &mut seen.reserved
            };
            orders.push((target.clone(), Instant::now()));
            let mut helpers: Vec<&String> = Vec::new();
            for (helper, _) in &seen.reserved {
                if !helpers.contains(&helper) {
                    helpers.push(helper);
                }
            }
            let number = helpers.iter().position(|h| **h == target).unwrap();
            script.began + script.silences.get(number).copied().unwrap_or_default()
        };
        sleep_until(silent_until).await;
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Reads a request with its body; `None` if the node closes the connection without one.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut first = [0];
    stream.read_exact(&mut first).await.ok()?;
    let head = format!("{}{}", char::from(first[0]), read_head(stream).await);
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + std::str::from_utf8(&body).unwrap())
}

/// The head of a request with a prompt of so many tokens.
fn long_prompt(path: &str, tokens: u64) -> String {
    let counts = format!("{}: {tokens},100\r\n", headers::TOKEN_COUNTS);
    head(path, &counts)
}

fn four_engines() -> TestNode {
    TestNode::open(TestOptions {
        has_second_target: true,
        has_third_target: true,
        more_targets: 1,
        has_engines: true,
        memory_tokens: 50_000,
        ..TestOptions::default()
    })
}

/// Engines of which a prompt takes two, so that others are free.
fn six_engines() -> TestNode {
    TestNode::open(TestOptions {
        has_second_target: true,
        has_third_target: true,
        more_targets: 3,
        has_engines: true,
        memory_tokens: 50_000,
        splits_prompts: false,
        ..TestOptions::default()
    })
}

/// Whether a caller gets a whole answer within `limit`.
async fn is_answered(mut caller: DuplexStream, limit: Duration) -> bool {
    let mut read = Vec::new();
    let reading = timeout(limit, caller.read_to_end(&mut read)).await;
    reading.is_ok() && chunked_body(&read).is_some()
}

/// Guards against memory that stays reserved for nobody after a caller left while a helper was silent.
#[tokio::test(start_paused = true)]
async fn memory_is_released_when_the_caller_leaves_during_the_reservation() {
    let node = four_engines();
    let caller = send(node.connect(), &long_prompt("/resumable/1", 80_000)).await;
    let script = Script::new([FOREVER], Duration::ZERO);
    let engines = Engines::open(node, script);
    sleep(LAG / 2).await;
    drop(caller);
    sleep(LAG).await;
    let seen = engines.seen();
    assert!(!seen.reserved.is_empty());
    assert_eq!(seen.released.len(), seen.reserved.len(), "{seen:?}");
}

/// Guards against a reservation that expires before its first renewal, since another helper is silent.
#[tokio::test(start_paused = true)]
async fn reserved_memory_is_renewed_in_time_beside_a_silent_helper() {
    let node = four_engines();
    let caller = send(node.connect(), &long_prompt("/resumable/1", 80_000)).await;
    let script = Script::new(
        [Duration::ZERO, Duration::from_millis(1900)],
        Duration::from_millis(1500),
    );
    let engines = Engines::open(node, script);
    let limit = Duration::from_secs(4);
    assert!(is_answered(caller, limit).await, "{:?}", engines.seen());
    let seen = engines.seen();
    let helper = &seen.reserved[0].0;
    let orders = seen.reserved.iter().chain(&seen.released);
    let mut at: Vec<Instant> = orders.filter(|o| o.0 == *helper).map(|o| o.1).collect();
    at.sort();
    let longest = at.windows(2).map(|w| w[1] - w[0]).max();
    assert!(
        longest <= Some(Duration::from_secs(1)),
        "{longest:?} {seen:?}"
    );
}

/// Guards against a long prompt whose caller leaves, since a silent one of its helpers is awaited though the others answer.
#[tokio::test(start_paused = true)]
async fn a_silent_one_of_several_helpers_is_replaced_in_time() {
    for path in ["/events/1", "/resumable/1"] {
        let node = four_engines();
        let caller = send(node.connect(), &long_prompt(path, 80_000)).await;
        let script = Script::new([FOREVER], Duration::ZERO);
        let engines = Engines::open(node, script);
        let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
        assert!(is_answered, "{path} {:?}", engines.seen());
        assert_eq!(engines.seen().runs.len(), 1, "{path}");
    }
}

/// Guards against a long prompt that is not sent although its helpers go on, one a moment after the other.
#[tokio::test(start_paused = true)]
async fn helpers_that_go_on_one_after_the_other_keep_their_prompt() {
    let node = four_engines();
    let caller = send(node.connect(), &long_prompt("/events/1", 80_000)).await;
    let after = |ms: u64| Duration::from_millis(1000 + ms);
    let script = Script::new([after(0), after(300), after(150)], Duration::ZERO);
    let engines = Engines::open(node, script);
    let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
    assert!(is_answered, "{:?}", engines.seen());
    let runs = engines.seen().runs;
    assert_eq!(runs.len(), 1, "{runs:?}");
}

/// Guards against a long prompt that leaves its helpers, most of which are silent for a second, for others that are silent as
/// well.
#[tokio::test(start_paused = true)]
async fn a_silence_of_most_helpers_is_awaited() {
    let node = four_engines();
    let caller = send(node.connect(), &long_prompt("/events/1", 80_000)).await;
    let silence = Duration::from_millis(900);
    let script = Script::new([Duration::ZERO, silence, silence], Duration::ZERO);
    let engines = Engines::open(node, script);
    let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
    assert!(is_answered, "{:?}", engines.seen());
    let seen = engines.seen();
    assert_eq!((seen.reserved.len(), seen.runs.len()), (3, 1), "{seen:?}");
}

/// Guards against a request that runs on more targets than its route allows, since the reservation for the first of them is
/// made after two others got it.
#[tokio::test(start_paused = true)]
async fn a_late_reservation_exceeds_no_limit_of_attempts() {
    let node = six_engines();
    let caller = send(node.connect(), &long_prompt("/resumable/1", 80_000)).await;
    let second = Duration::from_secs(1);
    let script = Script {
        is_first_run_broken: true,
        ..Script::new([second], second)
    };
    let engines = Engines::open(node, script);
    let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
    assert!(is_answered, "{:?}", engines.seen());
    assert_eq!(engines.seen().runs.len(), 2, "{:?}", engines.seen());
}

/// Guards against a lead that counts as failed, though it never got the request, since its helper is silent.
#[tokio::test(start_paused = true)]
async fn a_lead_is_not_blamed_for_its_silent_helper() {
    let node = six_engines();
    let caller = send(node.connect(), &long_prompt("/resumable/1", 80_000)).await;
    let engines = Engines::open(node, Script::new([FOREVER], Duration::ZERO));
    assert!(
        is_answered(caller, EVENT_TIMEOUT).await,
        "{:?}",
        engines.seen()
    );
    assert_eq!(engines.seen().runs.len(), 1);
    let silent = "azuresaddle_sends_total{service=\"svc\",result=\"silent\"}";
    assert!(!engines.node.has_metric_of(silent));
}

/// Guards against a long prompt that may run once, and whose caller leaves since its only helper is silent.
#[tokio::test(start_paused = true)]
async fn a_silent_helper_is_replaced_for_a_request_that_may_run_once() {
    let node = six_engines();
    let caller = send(node.connect(), &long_prompt("/events/1", 80_000)).await;
    let engines = Engines::open(node, Script::new([FOREVER], Duration::ZERO));
    let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
    assert!(is_answered, "{:?}", engines.seen());
    assert_eq!(engines.seen().runs.len(), 1, "{:?}", engines.seen());
}

/// Guards against a request that may run once and is sent twice, since the first of two reservations is made after all.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_is_sent_once_if_two_reservations_are_made() {
    let cases = [[600, 0], [600, 600], [800, 700], [700, 800]];
    for silences in cases {
        for is_first_run_broken in [false, true] {
            let node = six_engines();
            let caller = send(node.connect(), &long_prompt("/events/1", 80_000)).await;
            let silences = silences.map(Duration::from_millis);
            let script = Script {
                is_first_run_broken,
                ..Script::new(silences, Duration::from_secs(1))
            };
            let engines = Engines::open(node, script);
            let is_answered = is_answered(caller, EVENT_TIMEOUT).await;
            assert_ne!(is_answered, is_first_run_broken, "{silences:?}");
            assert_eq!(engines.seen().runs.len(), 1, "{silences:?}");
        }
    }
}
