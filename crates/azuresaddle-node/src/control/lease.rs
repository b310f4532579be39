//! The node's lease in the store; all its pools are owned under this one.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_store::{KeyValueStore, LeaseId, StoreError};
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;

/// Part of the time to live that is given up for clocks that run at different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 6;

/// Renewals within one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub(super) id: LeaseId,
    /// Until when the holder may act on it, by its own clock.
    pub(super) valid_until: Instant,
}

impl<N: Network> Control<N> {
    pub(super) fn spawn_lease_renewal(&self) {
        let store = self.parts.store.clone();
        let ttl = self.parts.settings.lease_ttl;
        let tx = self.parts.tx.clone();
        self.parts.spawner.spawn(async move {
            let mut held: Option<LeaseId> = None;
            loop {
                // The time to live counts from before the call, as the call's delay is unknown.
                let sent = Instant::now();
                let result = match held {
                    Some(lease) => store.renew_lease(lease).await.map(|()| lease),
                    None => store.grant_lease(ttl).await,
                };
                match result {
                    Ok(lease) => {
                        held = Some(lease);
                        let _ = tx.send(Command::LeaseHeld(lease, sent)).await;
                    }
                    Err(StoreError::LeaseExpired) => {
                        if let Some(lease) = held.take() {
                            let _ = tx.send(Command::LeaseExpired(lease)).await;
                        }
                        continue;
                    }
                    Err(_) => {}
                }
                tokio::time::sleep(jittered(ttl / RENEWALS_PER_TTL)).await;
            }
        });
    }

    pub(super) fn on_lease_held(&mut self, id: LeaseId, sent: Instant) {
        self.store_last_seen = Some(sent.max(self.store_last_seen.unwrap_or(sent)));
        let ttl = self.parts.settings.lease_ttl;
        self.lease = Some(HeldLease {
            id,
            valid_until: sent + ttl - ttl / CLOCK_DRIFT_DIVISOR,
        });
    }

    pub(super) fn on_lease_expired(&mut self, id: LeaseId) {
        if self.lease.is_some_and(|lease| lease.id == id) {
            tracing::warn!("owner: lease lapsed");
            self.lease = None;
        }
    }

    /// Whether this node may decide in the pools it owns.
    ///
    /// Without a valid lease it may only while ownership can't move: when a majority of the nodes
    /// can't reach the store either.
    pub(super) fn may_decide(&self, now: Instant) -> bool {
        if self.lease.is_some_and(|lease| now < lease.valid_until) {
            return true;
        }
        if self.store_reachable(now) {
            return false;
        }
        let without_store = self
            .peers
            .values()
            .filter(|p| p.is_alive(now) && !p.store_reachable)
            .count();
        (without_store + 1) * 2 > self.node_count()
    }
}

/// A duration up to a tenth shorter, so that nodes do not renew in step.
fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(1.0 - 0.1 * rand::random::<f64>())
}
