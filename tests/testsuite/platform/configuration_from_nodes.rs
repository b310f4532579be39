//! A node that can't reach the store learns of a new configuration from the other nodes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::decode_settings;
use azuresaddle_standin::net::{PartitionedNetwork, PathLoss};
use azuresaddle_standin::platform::{Caller, PlatformOptions, StandInPlatform};
use azuresaddle_standin::soak::next_port;
use tokio::runtime::Handle;

use super::support::add_route;

/// Time for the nodes to find each other and the targets.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time within which a change must be in effect.
const APPLY_TIME: Duration = Duration::from_millis(2000);

/// Failure domains of the nodes; the first node is the one that can't reach the store.
const DOMAINS: [&str; 3] = ["d1", "d1", "d2"];

/// Guards against a node that asks only the one in its own failure domain, which sends heartbeats but answers no calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_neighbour_does_not_answer_asks_those_of_other_domains() {
    let options = PlatformOptions::default();
    let mut platform = StandInPlatform::open(options).await.unwrap();
    let port = next_port();
    let ips = [10, 11, 12].map(|n| Ipv4Addr::new(127, 0, 5, n));
    let (mut nodes, mut callers, mut nets) = (Vec::new(), Vec::new(), Vec::new());
    for (n, ip) in ips.iter().enumerate() {
        let text = platform.settings(&format!("n{n}"), *ip, port, &ips[..2]);
        let text = text.replace("zone = \"d1\"", &format!("zone = \"{}\"", DOMAINS[n]));
        let settings = decode_settings(&text).unwrap();
        let neighbour = SocketAddr::from((ips[1], settings.peer_port));
        callers.push(settings.listen.callers);
        let net = PartitionedNetwork::new([settings.store, neighbour]);
        let (spawner, control) = (Spawner::current(), Handle::current());
        let options = NodeOptions::default();
        let opened = Node::open(settings, options, net.clone(), spawner, control);
        nodes.push(opened.await.unwrap());
        nets.push(net);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    nets[0].cut(PathLoss::Silent);
    let asked = add_route(&mut platform, "/added/");
    let mut statuses = Vec::new();
    for wait in [APPLY_TIME, APPLY_TIME * 3] {
        tokio::time::sleep(wait).await;
        for node in &callers {
            let answer = Caller::default().ask(*node, &asked).await;
            statuses.push(answer.unwrap().status.as_u16());
        }
    }
    assert_eq!(statuses, [200; 6]);
}
