//! Requests that crash the targets that run them and are retried by their callers.
//!
//! Guards against one request crashing many targets. A node that remembers failed targets only for the duration of an
//! attempt does not recognize the request when its caller retries it at any node. In one such case 11 of 14 engines
//! crashed within 1.6 s, each with up to 16 streams of other callers; within ten seconds the request was placed
//! 51 times in 34 attempts at nine nodes and crashed 32 engines. The logs showed `send failed` with
//! `broken: error reading a body from connection`, directly followed by `connect failed: Connection refused`.

use std::collections::BTreeSet;
use std::time::Duration;

use azuresaddle_standin::platform::{Caller, CallerRequest, PlatformOptions, StoreFault};
use azuresaddle_standin::soak::{Fleet, FleetOptions, NodeProcess};
use bytes::Bytes;
use nix::sys::signal::Signal;

use super::support::{ask, dir, plain, program, stream, trace};

/// Crashes after which a request is considered the cause and quarantined.
const CRASHES_UNTIL_QUARANTINE: usize = 3;

/// Maximum number of further sends, by nodes that have not heard of these crashes yet.
const MAX_LATER_SENDS: usize = 3;

/// Attempts of a caller that keeps retrying.
const ATTEMPTS: usize = 12;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Starts a fleet with enough targets that some are left while others are down.
async fn large_fleet(test: &str) -> Fleet {
    let world = PlatformOptions {
        engines: 6,
        plain: 4,
    };
    fleet_of(test, world).await
}

async fn fleet_of(test: &str, world: PlatformOptions) -> Fleet {
    let options = FleetOptions {
        nodes: 3,
        platform: world,
    };
    let fleet = Fleet::open(program(), &dir(test), options).await.unwrap();
    // Targets write their store entries shortly after the configuration.
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet
}

/// Sends the same request repeatedly, to each node in turn, and restarts the targets that it crashes; returns how many
/// targets it has reached.
async fn send_repeatedly(
    fleet: &mut Fleet,
    asked: impl Fn() -> CallerRequest,
    body: &Bytes,
) -> usize {
    fleet.platform.crashing_requests.add(body.clone());
    for n in 0..ATTEMPTS {
        let asked = with_body(asked(), body);
        let node = &fleet.nodes[n % fleet.nodes.len()];
        let answer = ask(node, &asked).await;
        assert!(
            !matches!(answer, Ok(ref a) if a.status == 200),
            "{answer:?}"
        );
        tokio::time::sleep(RETRY_INTERVAL).await;
        fleet.platform.restart_ended().await.unwrap();
    }
    fleet.platform.crashing_requests.targets_reached(body)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_crashes_its_engines_is_not_sent_indefinitely() {
    let mut fleet = large_fleet("crashing-stream").await;
    let body = Bytes::from_static(b"{\"a\":1}");
    let reached = send_repeatedly(&mut fleet, || stream("/ask/1", 1500, 6), &body).await;
    assert!(
        reached <= CRASHES_UNTIL_QUARANTINE + MAX_LATER_SENDS,
        "{reached} engines"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_request_that_crashes_its_targets_is_not_sent_indefinitely() {
    let mut fleet = large_fleet("crashing-plain").await;
    for (path, body) in [("/note/1", "{\"b\":1}"), ("/post/1", "{\"c\":1}")] {
        let body = Bytes::from_static(body.as_bytes());
        let reached = send_repeatedly(&mut fleet, || plain(path), &body).await;
        assert!(
            reached <= CRASHES_UNTIL_QUARANTINE + MAX_LATER_SENDS,
            "{reached} targets of {path}"
        );
    }
}

/// Asserts that a quarantined request is refused with a `retry-after` and reaches no target.
async fn assert_quarantined(fleet: &Fleet, node: usize, asked: &CallerRequest) {
    let reached = fleet
        .platform
        .crashing_requests
        .targets_reached(&asked.body);
    let answer = ask(&fleet.nodes[node], asked).await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.has_retry_after);
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
    assert_eq!(
        fleet
            .platform
            .crashing_requests
            .targets_reached(&asked.body),
        reached
    );
}

fn with_body(asked: CallerRequest, body: &Bytes) -> CallerRequest {
    CallerRequest {
        body: body.clone(),
        ..asked
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes_learn_quarantines_from_peers_or_the_store() {
    let mut fleet = large_fleet("crashing-later").await;
    let body = Bytes::from_static(b"{\"d\":1}");
    send_repeatedly(&mut fleet, || stream("/ask/1", 1500, 6), &body).await;
    for killed in [vec![2], vec![0, 1, 2]] {
        for n in &killed {
            fleet.nodes[*n].signal(Signal::SIGKILL);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        for n in &killed {
            fleet.nodes[*n].start().unwrap();
        }
        for n in killed {
            fleet.nodes[n].wait_until_ready().await.unwrap();
            let asked = with_body(stream("/ask/1", 1500, 6), &body);
            assert_quarantined(&fleet, n, &asked).await;
            let asked = stream("/ask/1", 1500, 6);
            assert_eq!(ask(&fleet.nodes[n], &asked).await.unwrap().status, 200);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_quarantines_while_the_store_is_down() {
    let mut fleet = large_fleet("crashing-store-down").await;
    // Nodes notice the outage only when a watch fails, and they keep the targets that they know.
    fleet.platform.store.set_fault(StoreFault::Unavailable);
    let body = Bytes::from_static(b"{\"e\":1}");
    let reached = send_repeatedly(&mut fleet, || stream("/ask/1", 1500, 6), &body).await;
    assert!(
        reached <= CRASHES_UNTIL_QUARANTINE + MAX_LATER_SENDS,
        "{reached} engines"
    );
    for n in 0..3 {
        let asked = with_body(stream("/ask/1", 1500, 6), &body);
        assert_quarantined(&fleet, n, &asked).await;
    }
    // The nodes write the quarantine to the store when it is back.
    fleet.platform.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for node in &mut fleet.nodes {
        node.signal(Signal::SIGKILL);
    }
    tokio::time::sleep(RETRY_INTERVAL).await;
    for n in 0..3 {
        fleet.nodes[n].start().unwrap();
        fleet.nodes[n].wait_until_ready().await.unwrap();
        let asked = with_body(stream("/ask/1", 1500, 6), &body);
        assert_quarantined(&fleet, n, &asked).await;
    }
}

/// While the store is down nodes do not learn that a target has restarted under its old name; they only see that it
/// accepts requests again.
#[tokio::test(flavor = "multi_thread")]
async fn each_target_crash_counts_even_if_its_restart_is_unknown() {
    let world = PlatformOptions {
        engines: 2,
        plain: 1,
    };
    let mut fleet = fleet_of("crashing-unseen", world).await;
    fleet.platform.store.set_fault(StoreFault::Unavailable);
    let body = Bytes::from_static(b"{\"h\":1}");
    let reached = send_repeatedly(&mut fleet, || stream("/ask/1", 1500, 6), &body).await;
    assert!(
        reached <= CRASHES_UNTIL_QUARANTINE + MAX_LATER_SENDS,
        "{reached} engines"
    );
    let reached = send_repeatedly(&mut fleet, || plain("/note/1"), &body).await;
    assert!(
        reached <= 2 * (CRASHES_UNTIL_QUARANTINE + MAX_LATER_SENDS),
        "{reached} targets"
    );
}

/// Streams of other callers run on the engines that crash. They resume on another engine or are retried by their
/// callers, and none of them is mistaken for the cause.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_beside_it_are_served() {
    let mut fleet = large_fleet("crashing-beside").await;
    let nodes: Vec<_> = fleet.nodes.iter().map(|n| n.callers_addr()).collect();
    let callers: Vec<_> = (0..12)
        .map(|n| {
            let node = nodes[n % nodes.len()];
            tokio::spawn(async move {
                let mut refused = 0;
                for m in 0..12 {
                    let body = Bytes::from(format!("{{\"sound\":{n},\"m\":{m}}}"));
                    let mut served = false;
                    for _ in 0..4 {
                        let asked = with_body(stream("/ask/1", 1500, 8), &body);
                        let answer = Caller::default().ask(node, &asked).await;
                        let status = answer.map_or(0, |a| a.status.as_u16());
                        refused += u32::from(status == 503);
                        served = status == 200;
                        if served {
                            break;
                        }
                    }
                    assert!(served, "caller {n}, request {m}");
                }
                refused
            })
        })
        .collect();
    let body = Bytes::from_static(b"{\"f\":1}");
    send_repeatedly(&mut fleet, || stream("/ask/1", 1500, 6), &body).await;
    for caller in callers {
        assert_eq!(caller.await.unwrap(), 0, "sound requests refused");
    }
    let cause = quarantined_fingerprints(&fleet.nodes[0]);
    assert_eq!(cause.len(), 1, "{cause:?}");
    let mut refusals = 0;
    for node in &fleet.nodes {
        assert_eq!(quarantined_fingerprints(node), cause);
        let text = node.metrics().await.unwrap();
        assert!(text.contains("azuresaddle_quarantines_total 1"), "{text}");
        refusals += text
            .matches("azuresaddle_quarantine_refusals_total{")
            .count();
    }
    assert!(refusals >= 1);
}

/// Fingerprints of all requests that a node has quarantined, according to its log.
fn quarantined_fingerprints(node: &NodeProcess) -> BTreeSet<String> {
    let text = node.log_text();
    let lines = text.lines().filter(|l| l.contains("request quarantined"));
    let fingerprints = lines.filter_map(|line| {
        let (_, rest) = line.split_once("\"fingerprint\":\"")?;
        Some(rest.split('"').next()?.to_owned())
    });
    fingerprints.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answer_says_whether_the_request_ran_and_the_trace_says_why() {
    let mut fleet = large_fleet("crashing-answers").await;
    let body = Bytes::from_static(b"{\"g\":1}");
    fleet.platform.crashing_requests.add(body.clone());
    for path in ["/ask/1", "/note/1"] {
        let mut last = String::new();
        for n in 0..6 {
            let asked = match path {
                "/ask/1" => with_body(stream(path, 1500, 6), &body),
                _ => with_body(plain(path), &body),
            };
            let answer = ask(&fleet.nodes[n % 3], &asked).await;
            let ran = fleet.platform.runs.of(&asked.attempt).count > 0;
            let refused = matches!(answer, Ok(ref a) if a.status == 503);
            assert_ne!(ran, refused, "{answer:?}");
            last = asked.attempt;
            tokio::time::sleep(RETRY_INTERVAL).await;
            fleet.platform.restart_ended().await.unwrap();
        }
        assert_eq!(fleet.platform.runs.of(&last).count, 0, "{path}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let attempt_history = trace(&fleet, &last);
        assert!(
            attempt_history.contains("request in quarantine"),
            "{attempt_history}"
        );
        let (_, rest) = attempt_history.split_once("fingerprint=").unwrap();
        let request = rest.split_whitespace().next().unwrap();
        // The trace by fingerprint shows every attempt, the targets that ended, and when the quarantine began.
        let history = trace(&fleet, request);
        assert!(history.contains("target ended"), "{history}");
        assert!(history.contains("request quarantined"), "{history}");
    }
}
