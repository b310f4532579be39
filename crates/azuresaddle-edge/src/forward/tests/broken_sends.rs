//! Tests of broken sends whose target turns out to have crashed.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_core::prelude::*;

use tokio::time::Instant;

use crate::forward::broken_sends::{BrokenSend, BrokenSends};
use crate::snapshot::TargetSet;
use crate::tests::snapshots::ready_target;

fn target(id: &str, host: u8, started: u64) -> TargetEntry {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 8149));
    TargetEntry {
        started: TargetStart(started),
        ..ready_target(id, addr)
    }
}

fn set(targets: &[TargetEntry]) -> TargetSet {
    TargetSet::new(targets.iter().cloned().map(Arc::new))
}

fn broken() -> (BrokenSends, Fingerprint) {
    let broken_sends = BrokenSends::default();
    let fingerprint = Fingerprint::of(&[b"a"]);
    broken_sends.push(broken_send(fingerprint));
    (broken_sends, fingerprint)
}

fn broken_send(fingerprint: Fingerprint) -> BrokenSend {
    BrokenSend {
        attempt_id: "a1".to_owned(),
        fingerprint,
        prompt_parts: Vec::new(),
        target: target("i-1", 1, 5),
        sent_at: Instant::now(),
        broken_at: Instant::now(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_target_that_restarted_counts_as_crashed() {
    for later in [target("i-1", 1, 6), target("i-2", 1, 7)] {
        let (broken_sends, fingerprint) = broken();
        assert!(
            broken_sends
                .take_crashed(&set(&[target("i-1", 1, 5)]))
                .is_empty()
        );
        let crashed = broken_sends.take_crashed(&set(&[later, target("i-3", 3, 1)]));
        assert_eq!(crashed.len(), 1);
        assert_eq!(crashed[0].fingerprint, fingerprint);
        assert!(broken_sends.take_crashed(&set(&[])).is_empty());
    }
}

/// A draining target accepts no new work and is removed from the set, but has not crashed.
#[tokio::test(start_paused = true)]
async fn a_missing_target_does_not_count_as_crashed() {
    let (broken_sends, _) = broken();
    assert!(
        broken_sends
            .take_crashed(&set(&[target("i-2", 2, 9)]))
            .is_empty()
    );
}

#[tokio::test(start_paused = true)]
async fn broken_sends_expire() {
    let (broken_sends, _) = broken();
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(
        broken_sends
            .take_crashed(&set(&[target("i-1", 1, 6)]))
            .is_empty()
    );
}

#[tokio::test(start_paused = true)]
async fn number_of_broken_sends_is_bounded() {
    let broken_sends = BrokenSends::default();
    for n in 0..1000 {
        let fingerprint = Fingerprint::of(&[&[n as u8]]);
        broken_sends.push(broken_send(fingerprint));
    }
    assert_eq!(
        broken_sends
            .take_crashed(&set(&[target("i-1", 1, 6)]))
            .len(),
        256
    );
}
