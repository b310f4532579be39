//! A node does not outlive a task that it can't do without.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::decode_settings;
use azuresaddle_standin::platform::{Caller, CallerRequest, PlatformOptions, StandInPlatform};
use azuresaddle_standin::soak::{get_status, next_port};
use nix::sys::signal::Signal;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use super::support::{fleet, plain};

/// Time within which a node must take notice, and end once its answers are finished.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Time within which a started node is ready.
const START_TIME: Duration = Duration::from_secs(10);

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longer than the time after which a thread counts as hung.
const SUSPENSION: Duration = Duration::from_secs(12);

/// A node of this process whose control has a runtime of its own.
struct SeparateNode {
    platform: StandInPlatform,
    node: Node,
    control: Runtime,
    callers: SocketAddr,
    readiness: SocketAddr,
}

impl SeparateNode {
    async fn open() -> Self {
        let platform = StandInPlatform::open(PlatformOptions::default())
            .await
            .unwrap();
        let ip = Ipv4Addr::new(127, 0, 4, 10);
        let text = platform.settings("n0", ip, next_port(), &[ip]);
        let settings = decode_settings(&text).unwrap();
        let (callers, readiness) = (settings.listen.callers, settings.listen.readiness);
        let control = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let node = Node::open(
            settings,
            NodeOptions::default(),
            TcpNetwork,
            Spawner::current(),
            control.handle().clone(),
        )
        .await
        .unwrap();
        let ready = async {
            while get_status(readiness, "/readyz").await != Some(200) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(START_TIME, ready).await.unwrap();
        // The targets are known a moment later.
        sleep(POLL_INTERVAL * 5).await;
        Self {
            platform,
            node,
            control,
            callers,
            readiness,
        }
    }

    async fn status(&self, asked: &CallerRequest) -> u16 {
        let answer = Caller::default().ask(self.callers, asked).await;
        answer.unwrap().status.as_u16()
    }
}

/// Guards against a node that stays ready and serves an old configuration for good once its control has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_control_has_ended_refuses_callers_and_ends() {
    let fleet = SeparateNode::open().await;
    assert_eq!(get_status(fleet.readiness, "/readyz").await, Some(200));
    assert_eq!(fleet.status(&plain("/note/1")).await, 200);
    fleet.control.shutdown_background();
    let failure = timeout(NOTICE_TIME, fleet.node.failure()).await.unwrap();
    assert_eq!(failure.end, TaskEnd::Ended);
    let stopping = fleet.node.stop_failed(failure);
    let checks = async {
        sleep(Duration::from_millis(50)).await;
        assert_eq!(get_status(fleet.readiness, "/readyz").await, Some(503));
        let asked = plain("/note/1");
        let answer = Caller::default().ask(fleet.callers, &asked).await.unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.has_retry_after),
            (503, true)
        );
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
    };
    let ended = timeout(NOTICE_TIME, async { tokio::join!(stopping, checks) });
    assert!(ended.await.is_ok());
}

/// Guards against a failed node that rejects requests by a configuration that may be old, while it finishes its answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_has_failed_rejects_nothing_by_its_configuration() {
    let fleet = SeparateNode::open().await;
    let asked = plain("/unknown/1");
    assert_eq!(fleet.status(&asked).await, 404);
    let (node, callers) = (fleet.node, fleet.callers);
    fleet.control.shutdown_background();
    let failure = timeout(NOTICE_TIME, node.failure()).await.unwrap();
    let checks = async {
        sleep(Duration::from_millis(50)).await;
        let answer = Caller::default().ask(callers, &asked).await;
        answer.unwrap().status.as_u16()
    };
    let ((), status) = tokio::join!(node.stop_failed(failure), checks);
    assert_eq!(status, 503);
}

/// Guards against a stop that counts as a failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_stopped_has_not_failed() {
    let fleet = SeparateNode::open().await;
    fleet.node.stop().await;
    let failure = timeout(NOTICE_TIME, fleet.node.failure()).await;
    fleet.control.shutdown_background();
    assert!(failure.is_err(), "{failure:?}");
}

/// Guards against a process that takes a suspension of itself for a thread that has hung.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_was_suspended_goes_on() {
    let mut fleet = fleet("suspended", 1).await;
    let node = &mut fleet.nodes[0];
    node.signal(Signal::SIGSTOP);
    sleep(SUSPENSION).await;
    node.signal(Signal::SIGCONT);
    sleep(NOTICE_TIME).await;
    assert!(node.is_running());
    assert!(node.is_ready().await);
}
