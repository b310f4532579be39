//! Tests of messages with any numbers, such as a node of another build or a damaged message may send.

use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PlacementId, RunningStream, StreamOutcome};
use proptest::prelude::*;
use proptest::sample::select;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout};

use super::test_fleet::TestFleet;
use crate::peer::{
    PermitReply, PermitRequest, PlaceMessage, PlaceReply, ReportKind, StreamReport, SyncMessage,
};

/// Time for which the test waits for a decision.
const WAIT: Duration = Duration::from_millis(300);

const NODE: u64 = 1;

/// A message as its receiver decodes it.
fn received<T: Serialize + DeserializeOwned>(message: &T) -> T {
    let bytes = postcard::to_stdvec(message).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

/// Durations at the bounds of what is used and of the type.
fn duration() -> impl Strategy<Value = Duration> {
    let bounds = [
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_millis(300),
        Duration::from_secs(30),
        Duration::from_secs(i64::MAX as u64),
        Duration::from_secs(u64::MAX),
        Duration::MAX,
    ];
    prop_oneof![
        select(bounds.to_vec()),
        any::<u64>().prop_map(Duration::from_nanos),
        any::<u64>().prop_map(Duration::from_secs),
    ]
}

fn tokens() -> impl Strategy<Value = u64> {
    prop_oneof![
        select(vec![0, 1, 3000, 300_000, 1 << 40, 1 << 63, u64::MAX]),
        any::<u64>(),
    ]
}

fn id() -> impl Strategy<Value = PlacementId> {
    (0..4u64).prop_map(|number| PlacementId { node: NODE, number })
}

fn engine() -> impl Strategy<Value = HostName> {
    (1..=3u32).prop_map(|n| HostName::new(format!("e{n}")))
}

prop_compose! {
    fn place_message()(
        id in id(),
        prompt_tokens in tokens(),
        answer_tokens in tokens(),
        first_event_in in duration(),
        pause in duration(),
        give_up_in in duration(),
        time_left in duration(),
    ) -> PlaceMessage {
        PlaceMessage {
            id,
            service: "svc".to_owned(),
            account: ClientAccount::new("a"),
            domain: FailureDomain::new("d1"),
            prompt_tokens,
            answer_tokens,
            first_event_in,
            pause,
            give_up_in,
            time_left,
            exclude: Vec::new(),
            suspect: None,
            is_redirected: false,
        }
    }
}

prop_compose! {
    fn running_stream()(
        id in id(),
        lead in engine(),
        helpers in proptest::collection::vec(engine(), 0..3),
        helper_memory_tokens in tokens(),
        prompt_tokens in tokens(),
        answer_tokens in tokens(),
        pause in duration(),
        is_decoding in any::<bool>(),
        first_event_in in duration(),
    ) -> RunningStream {
        RunningStream {
            id,
            lead,
            helpers,
            helper_memory_tokens,
            prompt_tokens,
            answer_tokens,
            pause,
            is_decoding,
            first_event_in,
            suspect: None,
        }
    }
}

fn report() -> impl Strategy<Value = ReportKind> {
    let backs_off = (engine(), duration())
        .prop_map(|(target, time)| StreamOutcome::TargetBacksOff { target, time });
    prop_oneof![
        Just(ReportKind::FirstEvent),
        Just(ReportKind::Ended(StreamOutcome::Done)),
        backs_off.prop_map(ReportKind::Ended),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Place(PlaceMessage),
    Sync(Vec<RunningStream>),
    Report(PlacementId, ReportKind),
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        3 => place_message().prop_map(Message::Place),
        1 => proptest::collection::vec(running_stream(), 0..4).prop_map(Message::Sync),
        1 => (id(), report()).prop_map(|(id, kind)| Message::Report(id, kind)),
    ]
}

async fn deliver(fleet: &mut TestFleet, message: Message) {
    let owner = &fleet.node(NODE).owner;
    match message {
        Message::Place(message) => {
            // A request that is not decided within this time is withdrawn.
            let _ = timeout(WAIT, owner.place(received(&message), 0)).await;
        }
        Message::Sync(streams) => owner.sync(&received(&SyncMessage {
            node: NODE,
            running: streams.into_iter().map(|s| ("svc".to_owned(), s)).collect(),
            waiting: Vec::new(),
            up_to: 0,
        })),
        Message::Report(id, kind) => owner.report(vec![received(&StreamReport {
            id,
            service: "svc".to_owned(),
            kind,
        })]),
    }
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against an owner that ends at the numbers in a message of another node.
    #[test]
    fn no_number_in_a_message_ends_the_owner(messages in proptest::collection::vec(message(), 1..12)) {
        paused_runtime().block_on(async {
            let mut fleet = TestFleet::open(&[NODE], 3);
            tokio::task::yield_now().await;
            for message in messages {
                deliver(&mut fleet, message).await;
                tokio::time::sleep(WAIT).await;
                fleet.node(NODE).owner.report(Vec::new());
            }
        });
    }

    /// Guards against a request that is lost at the numbers in a reply of the owner.
    #[test]
    fn no_duration_in_a_reply_overflows_a_sum(time in duration(), tokens in tokens()) {
        let now = Instant::now();
        let granted = received(&PlaceReply::Granted {
            lead: HostName::new("e1"),
            helpers: Vec::new(),
            helper_memory_tokens: tokens,
            first_event_in: time,
        });
        let PlaceReply::Granted { helper_memory_tokens, first_event_in, .. } = granted else {
            panic!("{granted:?}");
        };
        prop_assert!(now.checked_add(first_event_in * 4).is_some());
        prop_assert!(helper_memory_tokens.checked_mul(1 << 20).is_some());
        let refused = received(&PlaceReply::Refused { retry_after: time });
        let PlaceReply::Refused { retry_after } = refused else {
            panic!("{refused:?}");
        };
        prop_assert!(now.checked_add(retry_after).is_some());
        let denied = received(&PermitReply::Denied { wait: time });
        let PermitReply::Denied { wait } = denied else {
            panic!("{denied:?}");
        };
        prop_assert!(now.checked_add(wait).is_some());
    }
}

/// Guards against a limit that no target announced, from a damaged message.
#[test]
fn a_rate_limit_that_is_no_number_is_not_decoded() {
    for requests in [f64::NAN, f64::INFINITY, -1.0] {
        let bytes = postcard::to_stdvec(&("t".to_owned(), requests)).unwrap();
        assert!(postcard::from_bytes::<PermitRequest>(&bytes).is_err());
    }
    let limit = RateLimit::per_second(1.9).unwrap();
    let bytes = postcard::to_stdvec(&("t".to_owned(), 1.9)).unwrap();
    let request: PermitRequest = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(request.limit, limit);
}
