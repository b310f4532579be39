//! Tests of the recording and gossip of target signals.

use std::time::Duration;

use azuresaddle_core::deployment::{RateLimit, TargetSignals, TargetStart};
use azuresaddle_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::number;
use crate::control::heartbeat::{Datagram, MAX_BYTES};
use crate::control::members::TICK;
use crate::control::signal_records::{SignalChange, SignalRecords};
use crate::control::signals::{MAX_SIGNALS, SignalGossip};
use crate::signals::{ObservedSignals, SignalUpdate};

const STARTED: TargetStart = TargetStart(1000);

fn limit(rate: f64) -> Option<RateLimit> {
    RateLimit::per_second(rate)
}

fn target() -> HostName {
    HostName::new("i-5a807b3b18")
}

/// Signals of an answer to a request that was sent 100 ms earlier.
fn observed(at: Instant, rate_limit: Option<RateLimit>) -> ObservedSignals {
    ObservedSignals {
        target: target(),
        started: STARTED,
        sent_at: at.checked_sub(Duration::from_millis(100)).unwrap(),
        received_at: at,
        is_served: true,
        signals: TargetSignals {
            rate_limit,
            ..TargetSignals::default()
        },
    }
}

fn later(ms: u64) -> Instant {
    Instant::now() + Duration::from_secs(10) + Duration::from_millis(ms)
}

fn limited(rate: f64) -> Vec<SignalChange> {
    vec![SignalChange::Limited(limit(rate).unwrap())]
}

#[tokio::test(start_paused = true)]
async fn an_answer_to_a_later_request_lifts_a_limit() {
    let mut records = SignalRecords::default();
    assert_eq!(
        records.on_observed(&observed(later(0), limit(1.9))),
        limited(1.9)
    );
    assert_eq!(records.on_observed(&observed(later(10), limit(1.9))), []);
    // This request was sent before the limit was announced.
    assert_eq!(records.on_observed(&observed(later(50), None)), []);
    let changes = records.on_observed(&observed(later(300), None));
    assert_eq!(changes, [SignalChange::Unlimited]);
}

#[tokio::test(start_paused = true)]
async fn a_failure_without_a_limit_lifts_none() {
    let mut records = SignalRecords::default();
    records.on_observed(&observed(later(0), limit(1.9)));
    let failed = ObservedSignals {
        is_served: false,
        ..observed(later(500), None)
    };
    assert_eq!(records.on_observed(&failed), []);
}

#[tokio::test(start_paused = true)]
async fn a_later_start_replaces_the_signals_of_an_earlier_one() {
    let mut records = SignalRecords::default();
    records.on_observed(&observed(later(0), limit(1.9)));
    let restarted = ObservedSignals {
        started: TargetStart(2000),
        ..observed(later(100), limit(7.0))
    };
    assert_eq!(records.on_observed(&restarted), limited(7.0));
    assert_eq!(records.on_observed(&observed(later(200), limit(1.9))), []);
}

#[tokio::test(start_paused = true)]
async fn the_latest_announcement_wins_in_any_order() {
    let now = later(0);
    let update_with = |rate: Option<RateLimit>, age_ms| SignalUpdate {
        target: target(),
        started: STARTED,
        is_draining: false,
        rate_limit: rate,
        limit_age: Some(Duration::from_millis(age_ms)),
    };
    let mut records = SignalRecords::default();
    assert_eq!(
        records.on_gossip(now, &update_with(limit(1.0), 100)),
        limited(1.0)
    );
    assert_eq!(records.on_gossip(now, &update_with(limit(10.0), 900)), []);
    assert_eq!(records.on_gossip(now, &update_with(None, 400)), []);
    let changes = records.on_gossip(now, &update_with(None, 20));
    assert_eq!(changes, [SignalChange::Unlimited]);
}

/// Announces a limit to one node and returns the rounds until all nodes know it.
fn rounds_until_known(nodes: u16, loss_rate: f64) -> u32 {
    let mut fleet = Fleet::new(nodes);
    fleet.advance(Duration::from_secs(4));
    let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
    let mut all: Vec<(SignalRecords, SignalGossip)> =
        (0..nodes).map(|_| Default::default()).collect();
    all[0].0.on_observed(&observed(fleet.now, limit(1.9)));
    all[0].1.push(target());
    for round in 0..1000 {
        let knows = |records: &SignalRecords| {
            let update = records.update_for(fleet.now, &target());
            update.is_some_and(|u| u.rate_limit == limit(1.9))
        };
        if all.iter().all(|(records, _)| knows(records)) {
            return round;
        }
        fleet.round();
        let mut sent = Vec::new();
        for ((records, gossip), members) in all.iter_mut().zip(&mut fleet.nodes) {
            let targets = gossip.next_round();
            let Some(update) = targets
                .first()
                .and_then(|t| records.update_for(fleet.now, t))
            else {
                continue;
            };
            let to = if members.is_mesh() {
                members.alive_hosts(fleet.now)
            } else {
                members.gossip_peers()
            };
            sent.extend(to.into_iter().map(|ip| (ip, update.clone())));
        }
        for (ip, update) in sent {
            if rng.random_bool(loss_rate) {
                continue;
            }
            let (records, gossip) = &mut all[number(ip) - 1];
            let has_changed = !records.on_gossip(fleet.now, &update).is_empty();
            if nodes > 12 && records.should_gossip(fleet.now, &target(), has_changed) {
                gossip.push(target());
            }
        }
    }
    panic!("some node never learns of the limit");
}

#[tokio::test(start_paused = true)]
async fn all_nodes_know_a_limit_within_three_seconds_despite_datagram_loss() {
    for nodes in [3, 7, 66, 300] {
        let rounds = rounds_until_known(nodes, 0.1);
        assert!(
            TICK * rounds <= Duration::from_secs(3),
            "{nodes} nodes: {rounds}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_full_datagram_of_signals_fits() {
    let update = SignalUpdate {
        target: target(),
        started: TargetStart(1_790_000_000_000),
        is_draining: true,
        rate_limit: limit(1.9),
        limit_age: Some(Duration::from_secs(600)),
    };
    let bytes = Datagram::Signals(vec![update; MAX_SIGNALS]).encode();
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}
