//! The node's lease in the store, to which the ownership of all its pools is bound.

use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::prelude::*;
use azuresaddle_store::{KeyValueStore, LeaseId, StoreError};
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;

/// The holder stops using the lease when 1/6 of its time to live is left, since clocks run at
/// different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 6;

/// Number of renewals within one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease held by this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub(super) id: LeaseId,
    /// When this node must stop acting on the lease, by its own clock.
    pub(super) valid_until: Instant,
}

impl<N: Network> Control<N> {
    pub(super) fn spawn_lease_renewal(&self) {
        let store = self.parts.store.clone();
        let ttl = self.parts.settings.lease_ttl;
        let tx = self.parts.tx.clone();
        self.parts
            .spawner
            .spawn_essential("lease renewal", async move {
                let mut held: Option<LeaseId> = None;
                loop {
                    // The time to live is counted from before the call, since it is unknown when the
                    // store handled it.
                    let sent_at = Instant::now();
                    let result = match held {
                        Some(lease) => store.renew_lease(lease).await.map(|()| lease),
                        None => store.grant_lease(ttl).await,
                    };
                    match result {
                        Ok(lease) => {
                            held = Some(lease);
                            let _ = tx.send(Command::LeaseHeld(lease, sent_at)).await;
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

    pub(super) fn on_lease_held(&mut self, id: LeaseId, sent_at: Instant) {
        self.store_last_seen = Some(sent_at.max(self.store_last_seen.unwrap_or(sent_at)));
        let ttl = self.parts.settings.lease_ttl;
        self.lease = Some(HeldLease {
            id,
            valid_until: sent_at + ttl - ttl / CLOCK_DRIFT_DIVISOR,
        });
    }

    pub(super) fn on_lease_expired(&mut self, id: LeaseId) {
        if self.lease.is_some_and(|lease| lease.id == id) {
            tracing::warn!("owner: lease expired");
            self.lease = None;
        }
    }

    /// Whether this node may make decisions in the pools it owns.
    ///
    /// Without a valid lease it may only do so while a majority of the nodes, this one included,
    /// can't reach the store, since ownership can't move then.
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

/// Shortens a duration by up to a tenth at random, so that nodes do not renew simultaneously.
fn jittered(duration: Duration) -> Duration {
    scaled(duration, 1.0 - 0.1 * rand::random::<f64>())
}
