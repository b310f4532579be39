//! Nodes that lose their paths to all targets, while callers, the store and the other nodes reach them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::decode_settings;
use azuresaddle_standin::net::{PartitionedNetwork, PathLoss};
use azuresaddle_standin::platform::{
    Answer, Caller, CallerError, CallerRequest, PlatformOptions, StandInPlatform,
};
use azuresaddle_standin::soak::next_port;
use futures::future::join_all;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::support::{plain, stream};

const NODES: u8 = 5;

/// Nodes that lose their paths: most of the fleet.
const CUT_OFF: usize = 3;

/// Time for the nodes to find each other and the targets.
const SETTLE_TIME: Duration = Duration::from_millis(1200);

/// Time after a cut within which requests may fail: the bound of the deployment within which faults must be handled.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time without requests after which no connection to a target is kept open.
const KEPT_CONNECTION_TIME: Duration = Duration::from_secs(2);

/// Rounds of requests after the detection time.
const ROUNDS: usize = 20;

/// Most requests of a hundred that may fail while some nodes are cut off.
const MAX_FAILURES_PERCENT: usize = 2;

/// Nodes in one process, each with a network of its own.
struct PartitionedFleet {
    platform: StandInPlatform,
    networks: Vec<PartitionedNetwork>,
    callers: Vec<SocketAddr>,
    _nodes: Vec<Node>,
}

impl PartitionedFleet {
    async fn open() -> Self {
        let options = PlatformOptions {
            engines: 6,
            plain: 3,
        };
        let platform = StandInPlatform::open(options).await.unwrap();
        let targets = platform.engines.iter().chain(&platform.plain);
        let targets: Vec<SocketAddr> = targets.map(|t| t.addr()).collect();
        let port = next_port();
        let ips: Vec<Ipv4Addr> = (0..NODES)
            .map(|n| Ipv4Addr::new(127, 0, 2, 10 + n))
            .collect();
        let (mut networks, mut callers, mut nodes) = (Vec::new(), Vec::new(), Vec::new());
        for (n, ip) in ips.iter().enumerate() {
            let text = platform.settings(&format!("n{n}"), *ip, port, &ips[..2]);
            let settings = decode_settings(&text).unwrap();
            callers.push(settings.listen.callers);
            let net = PartitionedNetwork::new(targets.iter().copied());
            let options = NodeOptions::default();
            let opened = Node::open(
                settings,
                options,
                net.clone(),
                Spawner::current(),
                Handle::current(),
            );
            nodes.push(opened.await.unwrap());
            networks.push(net);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Self {
            platform,
            networks,
            callers,
            _nodes: nodes,
        }
    }

    /// Sends a stream, a request that may be repeated and one that may not to each node; returns the failures by node.
    async fn send_round(&self) -> Vec<Vec<FailedRequest>> {
        let nodes = self.callers.iter().map(|node| async move {
            let requests = [stream("/ask/1", 900, 3), plain("/note/1"), plain("/post/1")];
            let failures = requests.iter().map(|req| failure_of(*node, req));
            join_all(failures).await.into_iter().flatten().collect()
        });
        join_all(nodes).await
    }

    /// Sends rounds of requests for a time and ignores their outcome.
    async fn send_for(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::join!(self.send_round(), tokio::time::sleep(ROUND_INTERVAL));
        }
    }

    /// Sends all rounds of requests; returns the failures by node.
    async fn failures(&self) -> Vec<Vec<FailedRequest>> {
        let mut failures: Vec<Vec<FailedRequest>> = self.callers.iter().map(|_| vec![]).collect();
        for _ in 0..ROUNDS {
            let (round, ()) = tokio::join!(self.send_round(), tokio::time::sleep(ROUND_INTERVAL));
            for (all, new) in failures.iter_mut().zip(round) {
                all.extend(new);
            }
        }
        failures
    }
}

/// A request that was not served.
#[derive(Debug)]
#[expect(dead_code, reason = "shown when a check fails")]
struct FailedRequest {
    attempt: String,
    path: String,
    sent_at: SystemTime,
    took: Duration,
    outcome: Result<Answer, CallerError>,
}

/// Sends a request; returns how it failed, if it did.
async fn failure_of(node: SocketAddr, req: &CallerRequest) -> Option<FailedRequest> {
    let (sent_at, began) = (SystemTime::now(), Instant::now());
    let outcome = Caller::default().ask(node, req).await;
    let is_served = outcome.as_ref().is_ok_and(|a| a.status == 200);
    (!is_served).then(|| FailedRequest {
        attempt: req.attempt.clone(),
        path: req.path.clone(),
        sent_at,
        took: began.elapsed(),
        outcome,
    })
}

/// Failed requests of each node, in percent, rounded up.
fn percents(failures: &[Vec<FailedRequest>]) -> Vec<usize> {
    let percents = failures
        .iter()
        .map(|f| (f.len() * 100).div_ceil(ROUNDS * 3));
    percents.collect()
}

/// Guards against requests that fail at nodes without a path to any target, and against the failures of these nodes
/// taking targets out of use, or sound requests into quarantine, at the other nodes.
async fn assert_served_while_cut_off(loss: PathLoss) {
    let fleet = PartitionedFleet::open().await;
    fleet.send_for(SETTLE_TIME).await;
    let failures = fleet.failures().await;
    let failed = percents(&failures);
    assert!(
        failed.iter().all(|f| *f == 0),
        "before the cut: {failures:#?}"
    );
    for net in &fleet.networks[..CUT_OFF] {
        net.cut(loss);
    }
    if loss == PathLoss::OnlyNewRefused {
        tokio::time::sleep(KEPT_CONNECTION_TIME).await;
    }
    fleet.send_for(DETECTION_TIME).await;
    let failures = fleet.failures().await;
    let failed = percents(&failures);
    assert!(
        failed.iter().all(|f| *f <= MAX_FAILURES_PERCENT),
        "failed in percent, by node, the first {CUT_OFF} cut off: {failed:?} {failures:#?}"
    );
    for net in &fleet.networks {
        net.heal();
    }
    fleet.send_for(DETECTION_TIME).await;
    let failures = fleet.failures().await;
    let failed = percents(&failures);
    assert!(
        failed.iter().all(|f| *f == 0),
        "after the cut: {failures:#?}"
    );
    let ended = fleet.platform.engines.iter().any(|t| t.has_ended());
    assert!(!ended);
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_whose_paths_to_targets_reset_serve_their_callers() {
    assert_served_while_cut_off(PathLoss::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_whose_paths_to_targets_are_silent_serve_their_callers() {
    assert_served_while_cut_off(PathLoss::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_open_no_new_connections_to_targets_serve_their_callers() {
    assert_served_while_cut_off(PathLoss::OnlyNewRefused).await;
}

/// Guards against nodes that go on asking a node that has lost its paths too, and against an owner that is cut off: of all
/// nodes but one in turn, each is cut off most of the time, and the one that they connected through is among the next.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_serve_their_callers_when_those_they_connect_through_are_cut_off_as_well() {
    let fleet = PartitionedFleet::open().await;
    fleet.send_for(SETTLE_TIME).await;
    for connected in 0..3 {
        for (n, net) in fleet.networks.iter().enumerate() {
            if n == connected {
                net.heal();
            } else {
                net.cut(PathLoss::Reset);
            }
        }
        fleet.send_for(DETECTION_TIME).await;
        let failures = fleet.failures().await;
        let failed = percents(&failures);
        assert!(
            failed.iter().all(|f| *f <= MAX_FAILURES_PERCENT),
            "failed in percent, by node, all but {connected} cut off: {failed:?} {failures:#?}"
        );
    }
}
