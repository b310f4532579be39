//! Tests of datagrams with any numbers, such as a node of another build or a damaged datagram may hold.

use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_platform::{StoreEra, StorePosition};
use azuresaddle_sched::target_health::{
    EjectionScope, HealthBucket, HealthUpdate, Observer, ProbeReport, ProbeStage, SendCounts,
};
use proptest::prelude::*;
use proptest::sample::select;
use tokio::time::Instant;

use super::health_fleet::{STARTED, target};
use super::members::{heartbeat, ip, members, state};
use crate::control::heartbeat::{Datagram, Heartbeat, HeartbeatDigest, MemberState, Vote};
use crate::control::members::{Members, TICK};
use crate::control::shared_health::SharedHealth;
use crate::control::signal_records::SignalRecords;
use crate::signals::SignalUpdate;

/// The node that receives the datagrams; the others have the numbers from 1.
const OWN: u16 = 1;

const NODES: u16 = 5;

/// Time that passes after each datagram, which is enough for probes and trials.
const STEP: Duration = Duration::from_millis(300);

fn short() -> impl Strategy<Value = u16> {
    prop_oneof![select(vec![0, 1, 2, 1999, u16::MAX]), any::<u16>()]
}

fn word() -> impl Strategy<Value = u32> {
    let bounds = vec![0, 1, 2, 1 << 31, u32::MAX - 1, u32::MAX];
    prop_oneof![select(bounds), any::<u32>()]
}

fn long() -> impl Strategy<Value = u64> {
    let bounds = vec![0, 1, 1 << 63, u64::MAX - 1, u64::MAX];
    prop_oneof![select(bounds), any::<u64>()]
}

/// Usually the incarnation of a node that exists.
fn incarnation() -> impl Strategy<Value = u64> {
    prop_oneof![3 => (1..=NODES).prop_map(|n| u64::from(n) * 1000), 1 => long()]
}

prop_compose! {
    fn member()(
        number in 1..=NODES,
        incarnation in incarnation(),
        counter in word(),
        started_ms in long(),
        cpu_milli in word(),
        configuration in long(),
        (era, revision) in (long(), long()),
        (is_leaving, is_watching) in any::<(bool, bool)>(),
        term in word(),
    ) -> MemberState {
        MemberState {
            incarnation,
            counter,
            started_ms,
            cpu_milli,
            configuration,
            targets: StorePosition::new(StoreEra(era), revision),
            is_leaving,
            is_watching,
            term,
            ..state(number, 1)
        }
    }
}

fn heartbeats() -> impl Strategy<Value = Heartbeat> {
    let others = proptest::collection::vec(member(), 0..3);
    let digests = proptest::collection::vec((member(), word()), 0..3);
    (member(), others, digests).prop_map(|(from, others, digests)| Heartbeat {
        from,
        others,
        digests: digests
            .iter()
            .map(|(m, counter)| HeartbeatDigest::new(m, *counter))
            .collect(),
    })
}

fn bucket() -> impl Strategy<Value = HealthBucket> {
    let counts =
        (short(), short(), short()).prop_map(|(sends, no_connection, no_answer)| SendCounts {
            sends,
            no_connection,
            no_answer,
            ..SendCounts::default()
        });
    (word(), short(), counts).prop_map(|(index, age_ms, counts)| HealthBucket {
        index,
        age_ms,
        counts,
    })
}

fn report() -> impl Strategy<Value = ProbeReport> {
    let stage = select(vec![
        ProbeStage::Failed,
        ProbeStage::OnTrial,
        ProbeStage::Answered,
    ]);
    let scope = prop_oneof![
        Just(EjectionScope::Fleet),
        short().prop_map(EjectionScope::Domain)
    ];
    (word(), stage, word(), scope, short()).prop_map(
        |(sequence, stage, failed_probes, scope, age_ms)| ProbeReport {
            sequence,
            stage,
            failed_probes,
            scope,
            age_ms,
        },
    )
}

prop_compose! {
    fn health_update()(
        node in incarnation(),
        domain in short(),
        number in 0..2usize,
        started in prop_oneof![4 => Just(STARTED), 1 => long().prop_map(TargetStart)],
        buckets in proptest::collection::vec(bucket(), 0..4),
        report in proptest::option::of(report()),
    ) -> HealthUpdate {
        HealthUpdate {
            observer: Observer { node, domain },
            target: target(number).id.clone(),
            started,
            buckets,
            report,
        }
    }
}

fn signal() -> impl Strategy<Value = SignalUpdate> {
    let age = proptest::option::of((long(), 0..1_000_000_000u32));
    (long(), any::<bool>(), age).prop_map(|(started, is_draining, age)| SignalUpdate {
        target: target(0).id.clone(),
        started: TargetStart(started),
        is_draining,
        rate_limit: None,
        limit_age: age.map(|(seconds, nanos)| Duration::new(seconds, nanos)),
    })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let vote = (incarnation(), incarnation()).prop_map(|(voter, owner)| Vote { voter, owner });
    prop_oneof![
        heartbeats().prop_map(Datagram::Heartbeat),
        proptest::collection::vec(member(), 0..3).prop_map(Datagram::StateResponse),
        vote.prop_map(Datagram::Vote),
        proptest::collection::vec(health_update(), 1..4).prop_map(Datagram::TargetHealth),
        proptest::collection::vec(signal(), 1..3).prop_map(Datagram::Signals),
    ]
}

/// The parts of control that datagrams reach.
struct Receiver {
    members: Members,
    health: SharedHealth,
    signals: SignalRecords,
    targets: Vec<std::sync::Arc<TargetEntry>>,
}

impl Receiver {
    fn new(now: Instant) -> Self {
        let mut members = members(now, OWN);
        for other in 2..=NODES {
            members.on_heartbeat(now, ip(other), &heartbeat(other, 0));
        }
        Self {
            health: SharedHealth::new(now, &members.own),
            members,
            signals: SignalRecords::default(),
            targets: (0..2).map(target).collect(),
        }
    }

    fn receive(&mut self, now: Instant, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat(heartbeat) => {
                let from = heartbeat.from.ip;
                self.members.on_heartbeat(now, from, &heartbeat);
                let _ = self.members.hosts_to_request(&heartbeat);
            }
            Datagram::StateResponse(states) => {
                self.members.on_states(now, &states);
            }
            Datagram::Vote(vote) => {
                self.members.on_vote(now, vote);
            }
            Datagram::TargetHealth(updates) => {
                for update in &updates {
                    self.health.view.on_update(now, update);
                }
            }
            Datagram::Signals(updates) => {
                for update in &updates {
                    self.signals.on_gossip(now, update);
                }
            }
            other => panic!("not sent here: {other:?}"),
        }
    }

    /// Does what control does between datagrams.
    fn run(&mut self, now: Instant) {
        self.members.on_tick(now);
        self.members.claim_if_first(now);
        self.members.on_unresponsive_owner(now, 2000);
        let _ = (self.members.live_nodes(now), self.members.watch_role(now));
        let _ = self.members.heartbeat(now);
        let view = &mut self.health.view;
        let own = |n: u16| Observer {
            node: u64::from(n) * 1000,
            domain: n % 5,
        };
        view.decide(now, &self.targets, || (1..=NODES).map(own).collect());
        for target in view.start_probes(now) {
            view.on_probe(now, &target, false);
        }
        let _ = (view.next_due(), view.take_unsent(), view.all_updates(now));
        let _ = self.signals.all(now);
    }
}

proptest! {
    /// Guards against a control task that ends at the numbers in a datagram.
    #[test]
    fn no_number_in_a_datagram_ends_control(
        datagrams in proptest::collection::vec(datagram(), 1..20),
    ) {
        let mut now = Instant::now();
        let mut receiver = Receiver::new(now);
        for datagram in datagrams {
            let received = Datagram::decode(&datagram.encode()).unwrap();
            receiver.receive(now, received);
            receiver.run(now);
            receiver.run(now + TICK);
            now += STEP;
        }
    }
}

/// Guards against a node that ends when it replaces an owner whose claim has the highest term.
#[test]
fn an_owner_with_the_highest_term_can_be_replaced() {
    let now = Instant::now();
    let mut members = members(now, OWN);
    let mut highest = heartbeat(2, 1);
    highest.from.term = u32::MAX;
    members.on_heartbeat(now, ip(2), &highest);
    assert!(members.on_unresponsive_owner(now, 2000));
    assert_eq!(members.own.term, u32::MAX);
}

/// Guards against a node that ends when the probe of a target fails that another node has probed very often.
#[test]
fn any_number_of_failed_probes_may_be_reported() {
    let now = Instant::now();
    let mut receiver = Receiver::new(now);
    let report = ProbeReport {
        sequence: 1,
        stage: ProbeStage::Failed,
        failed_probes: u32::MAX,
        scope: EjectionScope::Fleet,
        age_ms: 0,
    };
    receiver.health.view.on_update(
        now,
        &HealthUpdate {
            observer: Observer {
                node: 2000,
                domain: 2,
            },
            target: target(0).id.clone(),
            started: STARTED,
            buckets: Vec::new(),
            report: Some(report),
        },
    );
    let (targets, view) = (&receiver.targets, &mut receiver.health.view);
    let own = Observer {
        node: 1000,
        domain: OWN % 5,
    };
    let mut probes = 0;
    for now in (1..10).map(|step| now + STEP * step) {
        view.decide(now, targets, || vec![own]);
        for target in view.start_probes(now) {
            probes += 1;
            view.on_probe(now, &target, probes > 1);
        }
    }
    assert!(
        probes > 1,
        "the target is probed again, and returns to use after a trial"
    );
}
