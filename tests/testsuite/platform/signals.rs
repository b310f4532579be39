//! Signals that targets send with their answers: a rate limit that all nodes share, draining, and back-off.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_standin::platform::{CallerRequest, Signals, TargetHandle};
use azuresaddle_standin::rate_limit_check::{
    ADJUSTMENT_TIME, WINDOW, max_requests_in_window, peak_requests_in_window,
};
use azuresaddle_standin::soak::Fleet;
use tokio::time::Instant;

use super::support::{arrivals_since, ask, fleet, plain, status, stream};

/// Highest number of requests that arrived at a target within one span, counting from `from` on.
fn max_in_a_span_since(target: &TargetHandle, from: Instant) -> usize {
    peak_requests_in_window(&arrivals_since(target, from), WINDOW)
}

/// Sends requests to all nodes concurrently for `length`; returns the statuses of the answers.
async fn load(
    fleet: &Fleet,
    length: Duration,
    pause: Duration,
    asked: impl Fn() -> CallerRequest,
) -> Vec<u16> {
    let end = Instant::now() + length;
    let callers = fleet.nodes.iter().map(|node| async {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(status(node, &asked()).await);
            tokio::time::sleep(pause).await;
        }
        statuses
    });
    futures::future::join_all(callers).await.concat()
}

/// Minimum share of the requests that each of two targets gets when both accept all requests.
const MIN_SHARE: f64 = 0.2;

/// Share of the requests that arrived at a target under concurrent load. Each node has several callers at a time, since
/// with one at a time nearly all requests go to the target that answers fastest.
async fn share_of_concurrent_load(
    fleet: &Fleet,
    target: &TargetHandle,
    pause: Duration,
    asked: impl Fn() -> CallerRequest,
) -> f64 {
    let from = Instant::now();
    let loads = (0..4).map(|_| load(fleet, Duration::from_secs(1), pause, &asked));
    let all = futures::future::join_all(loads).await.concat();
    arrived_since(target, from) as f64 / all.len() as f64
}

fn limited(rate: f64) -> Signals {
    Signals {
        rate_limit: Some(rate),
        ..Signals::default()
    }
}

async fn is_logged_soon(fleet: &Fleet, text: &str) -> bool {
    for _ in 0..40 {
        if fleet.nodes.iter().any(|n| n.log_text().contains(text)) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn target_signals_are_logged() {
    let fleet = fleet("signals", 1).await;
    let node = &fleet.nodes[0];
    for target in &fleet.platform.plain {
        target.set_signals(Signals {
            rate_limit: Some(50.0),
            is_draining: true,
            back_off: None,
        });
    }
    assert_eq!(status(node, &plain("/note/1")).await, 200);
    assert!(is_logged_soon(&fleet, "target limits its rate").await);
    assert!(is_logged_soon(&fleet, "target is draining").await);
    for target in &fleet.platform.plain {
        target.set_signals(Signals {
            back_off: Some(Duration::from_secs(3)),
            ..Signals::default()
        });
    }
    // Other tests check how this request is answered.
    let _ = ask(node, &plain("/note/1")).await;
    assert!(is_logged_soon(&fleet, "target asks to back off").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_respect_the_rate_limits_of_engines() {
    let fleet = fleet("limited-engines", 3).await;
    let rate = 1.5;
    for engine in &fleet.platform.engines[..2] {
        engine.set_signals(limited(rate));
    }
    let announced_at = Instant::now();
    let asked = || stream("/ask/1", 1500, 2);
    let statuses = load(
        &fleet,
        ADJUSTMENT_TIME + WINDOW * 2,
        Duration::from_millis(60),
        asked,
    )
    .await;
    for engine in &fleet.platform.engines[..2] {
        let most = max_in_a_span_since(engine, announced_at + ADJUSTMENT_TIME);
        assert!(
            most <= max_requests_in_window(rate),
            "{most} of {}",
            max_requests_in_window(rate)
        );
    }
    // The other engines have capacity for all requests.
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_respect_the_rate_limit_of_a_plain_target() {
    let fleet = fleet("limited-plain", 3).await;
    let rate = 1.0;
    fleet.platform.plain[0].set_signals(limited(rate));
    let announced_at = Instant::now();
    let asked = || plain("/post/1");
    let statuses = load(
        &fleet,
        ADJUSTMENT_TIME + WINDOW * 2,
        Duration::from_millis(60),
        asked,
    )
    .await;
    let most = max_in_a_span_since(&fleet.platform.plain[0], announced_at + ADJUSTMENT_TIME);
    assert!(
        most <= max_requests_in_window(rate),
        "{most} of {}",
        max_requests_in_window(rate)
    );
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_above_the_rate_limits_of_all_targets_are_refused_at_once() {
    let fleet = fleet("limited-all", 3).await;
    let rate = 2.0;
    for target in &fleet.platform.plain {
        target.set_signals(limited(rate));
    }
    let asked = || plain("/post/1");
    load(&fleet, ADJUSTMENT_TIME, Duration::from_millis(100), asked).await;
    let began = Instant::now();
    let statuses = load(&fleet, WINDOW * 2, Duration::from_millis(100), asked).await;
    let served = statuses.iter().filter(|s| **s == 200).count() as f64;
    let offered = rate * fleet.platform.plain.len() as f64 * began.elapsed().as_secs_f64();
    assert!(served >= offered * 0.7, "{served} of {offered}");
    assert!(
        statuses.iter().all(|s| [200, 503].contains(s)),
        "{statuses:?}"
    );
    // A refusal takes less time than the pause between two requests.
    assert!(statuses.len() >= 120, "{}", statuses.len());
    for target in &fleet.platform.plain {
        let most = max_in_a_span_since(target, began);
        assert!(
            most <= max_requests_in_window(rate),
            "{most} of {}",
            max_requests_in_window(rate)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_lifts_its_limit_gets_its_share_again() {
    let fleet = fleet("limit-lifted", 2).await;
    let target = &fleet.platform.plain[0];
    let asked = || plain("/post/1");
    target.set_signals(limited(1.0));
    load(&fleet, ADJUSTMENT_TIME, Duration::from_millis(60), asked).await;
    target.set_signals(Signals::default());
    load(&fleet, ADJUSTMENT_TIME, Duration::from_millis(60), asked).await;
    let share = share_of_concurrent_load(&fleet, target, Duration::from_millis(60), asked).await;
    assert!(share >= MIN_SHARE, "{share}");
}

/// Time after which a target that signals draining gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn draining() -> Signals {
    Signals {
        is_draining: true,
        ..Signals::default()
    }
}

fn arrived_since(target: &TargetHandle, from: Instant) -> usize {
    target.arrivals().iter().filter(|a| a.at >= from).count()
}

/// Loads nodes for the drain time, then checks that nothing more arrives at the draining targets. The targets write
/// nothing about it to the store, so nodes learn it from the answers alone.
async fn check_draining(
    fleet: &Fleet,
    draining_targets: &[TargetHandle],
    asked: impl Fn() -> CallerRequest,
) {
    for target in draining_targets {
        target.set_signals(draining());
    }
    let pause = Duration::from_millis(60);
    load(fleet, DRAIN_TIME, pause, &asked).await;
    let from = Instant::now();
    let statuses = load(fleet, DRAIN_TIME, pause, &asked).await;
    for target in draining_targets {
        let late = arrived_since(target, from);
        assert_eq!(late, 0, "at {}", target.id());
    }
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_plain_target_gets_nothing_after_the_drain_time() {
    let fleet = fleet("leaving-plain", 3).await;
    check_draining(&fleet, &fleet.platform.plain[..1], || plain("/post/1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_engines_get_nothing_after_the_drain_time() {
    let fleet = fleet("leaving-engines", 3).await;
    let asked = || stream("/ask/1", 1500, 2);
    check_draining(&fleet, &fleet.platform.engines[..2], asked).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_target_is_no_longer_draining() {
    let mut fleet = fleet("leaving-restarted", 1).await;
    fleet.platform.plain[0].set_signals(draining());
    let asked = || plain("/note/1");
    let pause = Duration::from_millis(20);
    load(&fleet, Duration::from_secs(1), pause, asked).await;
    fleet.platform.restart_plain(0).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let share = share_of_concurrent_load(&fleet, &fleet.platform.plain[0], pause, asked).await;
    assert!(share >= MIN_SHARE, "{share}");
}

/// Requests of one node that may still arrive at a target after it asked the node to back off.
const MAX_REQUESTS_DURING_BACK_OFF: usize = 2;

fn back_off_for(seconds: f64) -> Signals {
    Signals {
        back_off: Some(saturating_seconds(seconds)),
        ..Signals::default()
    }
}

/// Loads nodes that targets have asked to back off, and checks how many requests still arrive at these targets.
async fn check_back_off(fleet: &Fleet, asking: &[TargetHandle], asked: impl Fn() -> CallerRequest) {
    for target in asking {
        target.set_signals(back_off_for(6.0));
    }
    let pause = Duration::from_millis(40);
    load(fleet, Duration::from_millis(600), pause, &asked).await;
    let from = Instant::now();
    let statuses = load(fleet, Duration::from_secs(2), pause, &asked).await;
    for target in asking {
        let arrived = arrived_since(target, from);
        assert!(
            arrived <= MAX_REQUESTS_DURING_BACK_OFF,
            "{arrived} at {}",
            target.id()
        );
    }
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_target_that_asks_to_back_off_is_avoided() {
    let fleet = fleet("back-off-plain", 1).await;
    check_back_off(&fleet, &fleet.platform.plain[..1], || plain("/post/1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_ask_to_back_off_are_avoided() {
    let fleet = fleet("back-off-engines", 1).await;
    let asked = || stream("/ask/1", 1500, 2);
    check_back_off(&fleet, &fleet.platform.engines[..2], asked).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_all_targets_ask_to_back_off() {
    let fleet = fleet("back-off-all", 1).await;
    for target in fleet.platform.plain.iter().chain(&fleet.platform.engines) {
        target.set_signals(back_off_for(1.5));
    }
    let asked = [plain("/post/1"), stream("/ask/1", 1500, 2)];
    for asked in &asked {
        assert_eq!(status(&fleet.nodes[0], asked).await, 503);
    }
    // Each target has been asked once and has signalled back-off; until that ends none is asked again.
    for target in fleet.platform.plain.iter().chain(&fleet.platform.engines) {
        target.set_signals(Signals::default());
    }
    let arrived = || -> usize {
        fleet
            .platform
            .plain
            .iter()
            .map(|t| t.arrivals().len())
            .sum()
    };
    let before = arrived();
    let began = Instant::now();
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 503);
    assert!(began.elapsed() < Duration::from_millis(100));
    assert_eq!(arrived(), before);
    tokio::time::sleep(Duration::from_millis(1600)).await;
    for asked in [plain("/post/1"), stream("/ask/1", 1500, 2)] {
        assert_eq!(status(&fleet.nodes[0], &asked).await, 200);
    }
}
