//! A node does not outlive a task that it can't do without.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::decode_settings;
use azuresaddle_standin::platform::{Caller, CallerRequest, PlatformOptions, StandInPlatform};
use azuresaddle_standin::soak::{get_status, next_port};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use super::support::plain;

/// Time within which a node must take notice, and end once its answers are finished.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Time after which a started node is ready.
const START_TIME: Duration = Duration::from_millis(800);

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
        sleep(START_TIME).await;
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
