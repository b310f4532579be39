//! Crashes of targets that have restarted without this node's knowledge.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, TargetIncarnation};
use tokio::sync::mpsc;
use tokio::time::{Instant, advance};

use crate::metrics::Metrics;
use crate::quarantine::SharedQuarantine;
use crate::quarantine::shared::target_hash;
use crate::snapshot::TargetSet;
use crate::tests::snapshots::ready_target;

fn engine(number: u8, started: u64) -> TargetEntry {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 8149));
    TargetEntry {
        service: Arc::from("llm"),
        started: TargetStart(started),
        ..ready_target(&format!("i-{number}"), addr)
    }
}

fn known(targets: &[TargetEntry]) -> TargetSet {
    TargetSet::new(targets.iter().cloned().map(Arc::new))
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

fn quarantine() -> Arc<SharedQuarantine> {
    SharedQuarantine::new(mpsc::channel(8).0, Metrics::new())
}

/// Learns from other nodes that a target crashed while it ran these requests and parts of prompts.
fn learn(quarantine: &SharedQuarantine, target: &TargetEntry, fingerprints: &[Fingerprint]) {
    for fingerprint in fingerprints {
        quarantine.learn_crash(Crash {
            fingerprint: *fingerprint,
            target: TargetIncarnation {
                target: target_hash(target),
                number: 0,
            },
        });
    }
}

/// Guards against a request that all callers send and that is held back for minutes, since one crash was counted twice: for
/// the start that a node knew when it sent the request there, where no other suspect was, and for the later start that
/// crashed under it.
#[tokio::test(start_paused = true)]
async fn a_crash_of_a_target_that_had_restarted_before_the_send_counts_once() {
    let ms = Duration::from_millis;
    let quarantine = quarantine();
    let (popular, first, second, third) = (
        request("popular"),
        request("cause 1"),
        request("cause 2"),
        request("cause 3"),
    );
    let part = Fingerprint::of_prompt_part("llm", "part of causes 2 and 3");
    for number in 2..=4 {
        learn(&quarantine, &engine(number, 1), &[first]);
    }
    advance(ms(795)).await;
    let sent_at = Instant::now();
    advance(ms(46)).await;
    learn(&quarantine, &engine(1, 1), &[popular, second, part]);
    advance(ms(64)).await;
    learn(&quarantine, &engine(2, 2), &[second, part]);
    advance(ms(126)).await;
    learn(&quarantine, &engine(3, 2), &[popular, second, part]);
    advance(ms(77)).await;
    learn(&quarantine, &engine(4, 2), &[popular, third, part]);
    advance(ms(86)).await;
    let targets = known(&[engine(4, 2)]);
    let crashed = quarantine.target_at_send(&targets, &engine(4, 1), sent_at);
    quarantine.on_crash(popular, &crashed, sent_at);

    assert_eq!(quarantine.crashes_of(popular).len(), 3);
    assert!(!quarantine.status(popular).is_quarantined());
}

/// Guards against a crash that is missed or counted for the wrong start, where the target restarted after the send.
#[tokio::test(start_paused = true)]
async fn a_send_before_a_known_crash_went_to_the_earlier_start() {
    let quarantine = quarantine();
    let targets = known(&[engine(1, 2)]);
    let sent_at = Instant::now();
    assert_eq!(
        quarantine.target_at_send(&targets, &engine(1, 1), sent_at),
        engine(1, 1)
    );
    advance(Duration::from_millis(100)).await;
    learn(&quarantine, &engine(1, 1), &[request("cause")]);
    assert_eq!(
        quarantine.target_at_send(&targets, &engine(1, 1), sent_at),
        engine(1, 1)
    );
    advance(Duration::from_millis(100)).await;
    let later = Instant::now();
    assert_eq!(
        quarantine.target_at_send(&targets, &engine(1, 1), later),
        engine(1, 2)
    );
    assert_eq!(
        quarantine.target_at_send(&known(&[]), &engine(1, 1), later),
        engine(1, 1)
    );
}
