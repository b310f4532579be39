//! Targets that violate the protocol: surplus, repeated, unframed, early and invalid answers, slow engines, and orders
//! that are not answered.

use std::time::Duration;

use azuresaddle_standin::platform::{
    AccountSpec, Arrivals, Caller, CallerRequest, ProtocolFault, TargetFault,
};
use azuresaddle_standin::soak::Fleet;

use super::support::{ask, fleet, plain, status, stream};

/// Starts a node whose only plain target answers in the given way.
async fn raw_fleet(test: &str, answer: ProtocolFault) -> (Fleet, Arrivals) {
    let mut fleet = fleet(test, 1).await;
    for target in &fleet.platform.plain {
        fleet.platform.deregister(target);
    }
    let arrivals = fleet.platform.add_raw(answer).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    (fleet, arrivals)
}

/// A request whose body consists of a single repeated letter, so that a target can tell whether it arrived intact.
fn single_letter_request(path: &str, bytes: usize) -> CallerRequest {
    CallerRequest {
        body: vec![b'x'; bytes].into(),
        ..plain(path)
    }
}

/// Sends requests on one connection and returns the statuses. The caller checks that each successful answer is
/// complete and belongs to its request.
async fn ask_sequentially(fleet: &Fleet, all: &[CallerRequest]) -> Vec<u16> {
    let mut caller = Caller::default();
    let mut statuses = Vec::new();
    for asked in all {
        let answer = caller
            .ask(fleet.nodes[0].callers_addr(), asked)
            .await
            .unwrap();
        statuses.push(answer.status.as_u16());
    }
    statuses
}

fn assert_ran_once(fleet: &Fleet, all: &[CallerRequest]) {
    for asked in all {
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1, "{asked:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn surplus_and_repeated_answers_are_not_forwarded() {
    for (test, answer) in [
        ("surplus", ProtocolFault::Surplus),
        ("repeated", ProtocolFault::Repeated),
    ] {
        let (fleet, arrivals) = raw_fleet(test, answer).await;
        let all: Vec<CallerRequest> = (0..6)
            .map(|_| single_letter_request("/post/1", 40))
            .collect();
        let statuses = ask_sequentially(&fleet, &all).await;
        assert_eq!(statuses, [200; 6], "{test}");
        assert_ran_once(&fleet, &all);
        assert!(arrivals.all().iter().all(|a| a.is_whole));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_is_complete_at_close_but_not_after_a_reset() {
    let (fleet, _) = raw_fleet("unframed", ProtocolFault::Unframed).await;
    assert_eq!(
        status(&fleet.nodes[0], &single_letter_request("/post/1", 40)).await,
        200
    );

    let (fleet, _) = raw_fleet("unframed-reset", ProtocolFault::UnframedReset).await;
    let asked = single_letter_request("/post/1", 40);
    assert_eq!(status(&fleet.nodes[0], &asked).await, 502);
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_answered_early_is_still_sent_completely() {
    let (mut fleet, arrivals) = raw_fleet("early", ProtocolFault::Early).await;
    // Larger than the buffers of a connection.
    let length = 12 << 20;
    // A node holds the bodies of one account only up to a limit, and the target still reads the first ones when the last
    // one arrives.
    let accounts = ["advisers", "auditors"];
    fleet.platform.change_configuration(|c| {
        c.max_body_bytes = length as u64;
        c.accounts.push(AccountSpec {
            name: accounts[1].to_owned(),
            keys: vec!["key-3".to_owned()],
        });
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    let all: Vec<CallerRequest> = ["key-1", "key-3", "key-1", "key-3"]
        .map(|key| CallerRequest {
            key: key.to_owned(),
            ..single_letter_request("/post/1", length)
        })
        .to_vec();
    assert_eq!(ask_sequentially(&fleet, &all).await, [200; 4]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let arrived = arrivals.all();
    let known = |attempt: &str| all.iter().any(|a| a.attempt == attempt);
    assert!(
        arrived.iter().all(|a| a.is_whole && known(&a.attempt)),
        "{arrived:?}"
    );
    assert_ran_once(&fleet, &all);
    for (request, account) in all.iter().zip(accounts.iter().cycle()) {
        let run = fleet.platform.runs.of(&request.attempt);
        assert_eq!(run.account.as_deref(), Some(*account));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_answer_bytes_are_not_forwarded() {
    let (fleet, _) = raw_fleet("garbage", ProtocolFault::Garbage).await;
    let asked = single_letter_request("/post/1", 40);
    assert_eq!(status(&fleet.nodes[0], &asked).await, 502);
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_orders_leave_no_memory_reserved() {
    for (test, fault) in [
        ("orders-unanswered", TargetFault::OrdersUnanswered),
        ("orders-late", TargetFault::OrdersLate),
    ] {
        let fleet = fleet(test, 1).await;
        for engine in &fleet.platform.engines {
            engine.set_fault(fault);
        }
        // The prompt needs two engines; no reservation is answered in time.
        let asked = stream("/ask/1", 500_000, 3);
        let answer = ask(&fleet.nodes[0], &asked).await.unwrap();
        assert_eq!(answer.status, 503, "{test}");
        assert!(answer.has_retry_after);
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
        // An unrenewed reservation expires after three seconds.
        tokio::time::sleep(Duration::from_millis(4200)).await;
        assert_eq!(fleet.platform.reserved_tokens(), 0, "{test}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_engine_is_asked_for_its_speed_and_avoided() {
    let fleet = fleet("slow", 1).await;
    fleet.platform.engines[0].set_fault(TargetFault::Slow);
    let mut late = 0;
    for _ in 0..12 {
        let asked = stream("/ask/1", 40_000, 2);
        let started = std::time::Instant::now();
        assert_eq!(status(&fleet.nodes[0], &asked).await, 200);
        // Reading the prompt takes 160 ms on one engine, less when split over all four, and 640 ms on the slow one.
        late += u32::from(started.elapsed() > Duration::from_millis(450));
    }
    assert!(late <= 3, "{late} of 12 waited for the slow engine");
}
