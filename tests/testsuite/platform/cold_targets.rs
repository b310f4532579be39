//! Targets that are cold after their start: all nodes together keep to the rate that they tolerate.

use std::time::Duration;

use azuresaddle_standin::platform::{CallerRequest, TargetHandle};
use azuresaddle_standin::rate_limit_check::peak_requests_in_window;
use azuresaddle_standin::soak::Fleet;
use tokio::time::Instant;

use super::support::{arrivals_since, fleet, plain, status, stream};

/// Requests per second that a cold target tolerates.
const COLD_RATE: f64 = 8.0;

/// Highest number of requests in any second: the tolerated rate with half of it on top, and a few more.
const MAX_IN_A_SECOND: usize = 17;

/// How long targets stay cold.
const COLD_TIME: Duration = Duration::from_secs(4);

/// Starts a fleet of three nodes whose services have a cold rate.
async fn fleet_with_cold_rate(test: &str) -> Fleet {
    let mut fleet = fleet(test, 3).await;
    fleet.platform.change_configuration(|c| {
        for service in &mut c.services {
            service.cold_rate = COLD_RATE;
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
}

/// Has four callers a node send requests without a pause for a time; returns the statuses of the answers.
async fn load(fleet: &Fleet, length: Duration, asked: fn() -> CallerRequest) -> Vec<u16> {
    let end = Instant::now() + length;
    let nodes = fleet.nodes.iter().flat_map(|node| [node; 4]);
    let callers = nodes.map(|node| async move {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(status(node, &asked()).await);
        }
        statuses
    });
    futures::future::join_all(callers).await.concat()
}

fn peak_since(target: &TargetHandle, from: Instant) -> usize {
    peak_requests_in_window(&arrivals_since(target, from), Duration::from_secs(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_plain_target_gets_at_most_the_rate_that_it_tolerates() {
    let fleet = fleet_with_cold_rate("cold-plain").await;
    let cold = fleet.platform.plain[0].clone();
    fleet.platform.register_cold(&cold, COLD_TIME);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let began = Instant::now();
    let statuses = load(&fleet, Duration::from_secs(3), || plain("/post/1")).await;
    let peak = peak_since(&cold, began);
    assert!((1..=MAX_IN_A_SECOND).contains(&peak), "{peak} in a second");
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    // Once it is warm it gets its share again.
    tokio::time::sleep(COLD_TIME.saturating_sub(began.elapsed())).await;
    let warm_at = Instant::now();
    load(&fleet, Duration::from_secs(1), || plain("/post/1")).await;
    assert!(peak_since(&cold, warm_at) > MAX_IN_A_SECOND);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_engine_gets_at_most_the_rate_that_it_tolerates_while_the_owner_is_replaced() {
    let mut fleet = fleet_with_cold_rate("cold-engine").await;
    let owner = (0..3)
        .find(|n| fleet.nodes[*n].log_text().contains("owner now"))
        .unwrap_or(0);
    let cold = fleet.platform.engines[0].clone();
    for engine in &fleet.platform.engines {
        fleet.platform.register_cold(engine, COLD_TIME);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let began = Instant::now();
    fleet.nodes[owner].signal(nix::sys::signal::Signal::SIGSTOP);
    let others: Vec<_> = (0..3).filter(|n| *n != owner).collect();
    let end = began + Duration::from_secs(3);
    let callers = others.iter().flat_map(|n| [&fleet.nodes[*n]; 8]);
    let callers = callers.map(|node| async move {
        while Instant::now() < end {
            // What counts here is what arrives, not how it is answered.
            let _ = status(node, &stream("/ask/1", 1500, 1)).await;
        }
    });
    futures::future::join_all(callers).await;
    fleet.nodes[owner].signal(nix::sys::signal::Signal::SIGCONT);
    let peak = peak_since(&cold, began);
    assert!((1..=MAX_IN_A_SECOND).contains(&peak), "{peak} in a second");
}
