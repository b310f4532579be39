//! Cancels streams, with retries until their targets confirm it.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::Outcome;
use futures::future::join_all;
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;
use crate::engine::EngineClient;
use crate::engine::wire::FencingToken;

/// Delay before the first retry of a cancellation; it doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between retries of a cancellation.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of cancel calls to a target in one task; a new task starts after
/// `ORPHAN_TIMEOUT`.
const MAX_ATTEMPTS: u32 = 20;

impl<N: Network> Control<N> {
    /// Cancels an attempt on all its targets; once they confirm it, the reservation ends with the
    /// given outcome.
    pub(super) fn begin_cancel(
        &mut self,
        now: Instant,
        pool: &PoolId,
        stream: StreamId,
        outcome: Outcome,
    ) {
        let Some(owned) = self.owned.get_mut(pool) else {
            return;
        };
        owned.last_in_use.remove(&stream);
        let names = owned.pool.targets_of(stream);
        if names.is_empty() {
            owned.pool.on_end(now, stream, outcome);
            owned.remove_attempt(stream);
            return;
        }
        if owned.cancelling.insert(stream, now).is_some() {
            return;
        }
        let fence = FencingToken {
            pool: pool.to_string(),
            epoch: owned.epoch,
        };
        let engines = &self.hosts.engines;
        let addrs = names
            .iter()
            .filter_map(|name| engines.get(name))
            .map(|e| e.addr);
        let addrs: Vec<SocketAddr> = addrs.collect();
        let client = self.engines.clone();
        let pool = pool.clone();
        self.spawn_command(async move {
            let cancels = addrs
                .into_iter()
                .map(|addr| cancel_on_target(&client, addr, stream, &fence));
            let confirmed = join_all(cancels)
                .await
                .into_iter()
                .all(|confirmed| confirmed);
            Some(if confirmed {
                Command::CancelConfirmed(pool, stream, outcome)
            } else {
                Command::CancelUnconfirmed(pool, stream)
            })
        });
    }

    pub(super) fn on_cancel_unconfirmed(&mut self, now: Instant, pool: &PoolId, stream: StreamId) {
        if let Some(owned) = self.owned.get_mut(pool) {
            owned.cancelling.remove(&stream);
            owned.last_in_use.insert(stream, now);
        }
    }

    pub(super) fn on_cancel_confirmed(
        &mut self,
        now: Instant,
        pool: &PoolId,
        stream: StreamId,
        outcome: Outcome,
    ) {
        if let Some(owned) = self.owned.get_mut(pool) {
            owned.pool.on_end(now, stream, outcome);
            owned.remove_attempt(stream);
        }
        self.dispatch_all();
    }
}

/// Repeats the cancel call until the target confirms it; false if it does not.
async fn cancel_on_target<N: Network>(
    client: &EngineClient<N>,
    addr: SocketAddr,
    stream: StreamId,
    fence: &FencingToken,
) -> bool {
    let mut delay = INITIAL_RETRY_DELAY;
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(true) = client.cancel(addr, stream, fence).await {
            return true;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    false
}
