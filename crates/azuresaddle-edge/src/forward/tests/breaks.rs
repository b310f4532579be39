//! Breaks whose cause shows later.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;

use tokio::time::Instant;

use crate::forward::breaks::{Break, Breaks};
use crate::snapshot::TargetSet;

fn target(id: &str, host: u8, started: u64) -> TargetEntry {
    TargetEntry {
        id: HostName::new(id),
        service: Arc::from("svc"),
        addr: SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 8149)),
        domain: FailureDomain::new("d1"),
        state: TargetState::Ready,
        slots: 16,
        started: TargetStart(started),
        sequence: 1,
    }
}

fn set(targets: &[TargetEntry]) -> TargetSet {
    TargetSet::new(targets.iter().cloned().map(Arc::new))
}

fn broken() -> (Breaks, Fingerprint) {
    let breaks = Breaks::default();
    let request = Fingerprint::of(&[b"a"]);
    breaks.push(broken_send(request));
    (breaks, request)
}

fn broken_send(request: Fingerprint) -> Break {
    Break {
        attempt: "a1".to_owned(),
        request,
        target: target("i-1", 1, 5),
        sent_at: Instant::now(),
        broken_at: Instant::now(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_target_that_starts_again_had_ended() {
    for later in [target("i-1", 1, 6), target("i-2", 1, 7)] {
        let (breaks, request) = broken();
        assert!(breaks.take_ended(&set(&[target("i-1", 1, 5)])).is_empty());
        let ended = breaks.take_ended(&set(&[later, target("i-3", 3, 1)]));
        assert_eq!(ended.len(), 1);
        assert_eq!(ended[0].request, request);
        assert!(breaks.take_ended(&set(&[])).is_empty());
    }
}

/// A target that drains takes no new work and is missing, but has not ended.
#[tokio::test(start_paused = true)]
async fn a_target_that_is_only_missing_has_not_ended() {
    let (breaks, _) = broken();
    assert!(breaks.take_ended(&set(&[target("i-2", 2, 9)])).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_break_is_forgotten_after_a_while() {
    let (breaks, _) = broken();
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(breaks.take_ended(&set(&[target("i-1", 1, 6)])).is_empty());
}

#[tokio::test(start_paused = true)]
async fn breaks_are_bounded() {
    let breaks = Breaks::default();
    for n in 0..1000 {
        let request = Fingerprint::of(&[&[n as u8]]);
        breaks.push(broken_send(request));
    }
    assert_eq!(breaks.take_ended(&set(&[target("i-1", 1, 6)])).len(), 256);
}
