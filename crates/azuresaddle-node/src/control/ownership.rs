//! Acquires, keeps and hands over the ownership of pools.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Pool, PoolOptions};
use azuresaddle_store::{LeaseId, NO_LEASE, OwnerRecord, StoreError, acquire_pool, release_pool};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::actor::Control;
use super::command::Command;
use super::owned_pool::OwnedPool;

/// Delay between the attempts of successive candidates to acquire a pool.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Time after the start in which a node learns of the other nodes before it acquires pools.
const STARTUP_DELAY: Duration = Duration::from_millis(1500);

impl<N: Network> Control<N> {
    /// Applies an owner record from the store; one with an outdated epoch is ignored.
    pub(super) fn apply_owner(&mut self, now: Instant, record: OwnerRecord) {
        let known = self.owners.get(&record.pool);
        if known.is_some_and(|k| k.epoch > record.epoch) {
            return;
        }
        let own = record.owner == self.parts.settings.name;
        let is_mine = own && self.lease.is_some_and(|lease| lease.id == record.lease);
        if is_mine {
            self.begin_owning(now, &record);
        } else if let Some(owned) = self.owned.get(&record.pool)
            && (!own || record.epoch > owned.epoch)
        {
            self.stop_owning(&record.pool);
        }
        self.owners.insert(record.pool.clone(), record);
    }

    /// Starts to acquire pools that have no live owner.
    pub(super) fn acquire_ownerless_pools(&mut self, now: Instant) {
        self.drop_unlisted_pools();
        if self.stopping_since.is_some() {
            self.hand_over_all();
            return;
        }
        let Some(lease) = self.lease.filter(|lease| now < lease.valid_until) else {
            return;
        };
        if now - self.started < STARTUP_DELAY {
            return;
        }
        let pools: Vec<PoolId> = self.hosts.pools.keys().cloned().collect();
        for pool in pools {
            if !self.acquiring.contains(&pool) && self.should_acquire(now, &pool, lease.id) {
                self.spawn_acquire(pool, lease.id);
            }
        }
    }

    fn should_acquire(&self, now: Instant, pool: &PoolId, lease: LeaseId) -> bool {
        let record = self.owners.get(pool);
        if let Some(record) = record
            && record.owner == self.parts.settings.name
        {
            return record.lease != lease;
        }
        let Some(ownerless_since) = self.ownerless_since(now, record) else {
            return false;
        };
        let rank = self.rank(now, pool);
        now >= ownerless_since + RANK_DELAY * rank
    }

    /// Since when a pool appears to have no live owner; `None` if it has one.
    fn ownerless_since(&self, now: Instant, record: Option<&OwnerRecord>) -> Option<Instant> {
        let startup_end = self.started + STARTUP_DELAY;
        let Some(record) = record else {
            return Some(startup_end);
        };
        if record.lease == NO_LEASE {
            return Some(startup_end);
        }
        match self.peers.get(&record.owner) {
            Some(peer) => peer.silent_since(now),
            None => Some(startup_end),
        }
    }

    /// Position of this node among the candidates for a pool, from 0; nodes in the pool's failure
    /// domain come first.
    fn rank(&self, now: Instant, pool: &PoolId) -> u32 {
        let own = &self.parts.settings.name;
        let is_candidate = |name: &HostName| {
            self.peers
                .get(name)
                .is_some_and(|p| p.is_alive(now) && !p.stopping)
        };
        let weight = |name: &HostName, domain: &FailureDomain| {
            let text = format!("{name}\n{pool}");
            (*domain == pool.domain, xxh3_64(text.as_bytes()))
        };
        let mine = weight(own, &self.parts.settings.domain);
        let before = self.hosts.entries.iter().filter(|entry| {
            entry.name != *own
                && is_candidate(&entry.name)
                && weight(&entry.name, &entry.domain) > mine
        });
        before.count() as u32
    }

    fn spawn_acquire(&mut self, pool: PoolId, lease: LeaseId) {
        self.acquiring.insert(pool.clone());
        let store = self.parts.store.clone();
        let owner = self.parts.settings.name.clone();
        let peer_addr = self.parts.peer_addr;
        self.spawn_command(async move {
            let result = acquire_pool(&store, &pool, &owner, peer_addr, lease).await;
            Some(Command::Acquired(pool, result))
        });
    }

    pub(super) fn on_acquired(
        &mut self,
        now: Instant,
        pool: PoolId,
        result: Result<OwnerRecord, StoreError>,
    ) {
        self.acquiring.remove(&pool);
        match result {
            Ok(record) => self.apply_owner(now, record),
            Err(e) => tracing::debug!("owner: pool {pool} not acquired: {e}"),
        }
    }

    fn begin_owning(&mut self, now: Instant, record: &OwnerRecord) {
        if let Some(owned) = self.owned.get_mut(&record.pool) {
            // This node owned the pool under an earlier lease, so its ledger is still valid.
            owned.epoch = record.epoch;
            return;
        }
        tracing::info!(
            "owner: acquired pool {} with epoch {}",
            record.pool,
            record.epoch
        );
        self.parts.metrics.count("owner.acquired");
        let options = PoolOptions {
            initial_prefill_rate: self.parts.settings.initial_prefill_rate,
            ..PoolOptions::default()
        };
        let owned = OwnedPool::new(now, Pool::new(now, options), record.epoch);
        self.owned.insert(record.pool.clone(), owned);
        self.sync_targets(now);
        self.last_poll = None;
        self.poll_targets(now);
    }

    fn stop_owning(&mut self, pool: &PoolId) {
        if let Some(mut owned) = self.owned.remove(pool) {
            tracing::info!("owner: no longer owns pool {pool}");
            owned.reply_not_owner();
        }
    }

    /// Drops owned pools that are no longer in the host list.
    fn drop_unlisted_pools(&mut self) {
        let hosts = &self.hosts;
        self.owned.retain(|pool, owned| {
            let exists = hosts.pools.contains_key(pool);
            if !exists {
                owned.reply_not_owner();
            }
            exists
        });
    }

    fn hand_over_all(&mut self) {
        let ids: Vec<PoolId> = self.owned.keys().cloned().collect();
        for id in ids {
            let Some(owned) = self.owned.get_mut(&id) else {
                continue;
            };
            if owned.handing_over || self.hosts.entries.len() < 2 {
                continue;
            }
            owned.handing_over = true;
            owned.reply_not_owner();
            let epoch = owned.epoch;
            let store = self.parts.store.clone();
            self.spawn_command(async move {
                let done = release_pool(&store, &id, epoch).await.is_ok();
                Some(Command::HandedOver(id, done))
            });
        }
    }

    pub(super) fn on_handed_over(&mut self, pool: &PoolId, done: bool) {
        if done {
            self.stop_owning(pool);
        } else if let Some(owned) = self.owned.get_mut(pool) {
            // The store has not recorded the release; keep scheduling and retry at the next tick.
            owned.handing_over = false;
        }
    }

    /// Whether this node owns a pool and is not handing it over.
    pub(super) fn owns(&self, pool: &PoolId) -> bool {
        self.owned
            .get(pool)
            .is_some_and(|owned| !owned.handing_over)
    }
}
