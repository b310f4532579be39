//! The nodes that place requests, and the choice of the node for each request.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PassPool, PoolLoad};
use rand::Rng;
use rand::seq::index::sample;
use tokio::time::Instant;

use super::{Event, Simulation};
use crate::passes::pool_layout::PoolLayout;

/// Interval at which the load of a pool is published, in milliseconds: two rounds of heartbeats.
const PUBLISH_INTERVAL_MS: f64 = 400.0;

/// Ratio of the load of the own failure domain's pool to that of the best pool above which requests
/// spill over.
const SPILL_FACTOR: f64 = 1.3;

/// A node that places requests on engines.
pub(super) struct Placer {
    pub(super) pool: PassPool,
    /// The load last published to other nodes.
    pub(super) published: PoolLoad,
    /// Time until which it is stalled, in milliseconds.
    pub(super) stalled_until_ms: f64,
    /// Time at which its timer expires, in microseconds.
    pub(super) wakeup_at: Option<u64>,
}

impl Simulation<'_> {
    /// Creates the pool of a placer, without streams, or `None` for a baseline.
    pub(super) fn new_pool(&self, now: Instant, index: usize) -> Option<PassPool> {
        let options = self.policy.options()?;
        let mut pool = PassPool::new(options, self.workload.spec.clone());
        let Self {
            workload, names, ..
        } = self;
        for (i, name) in names.iter().enumerate() {
            let is_member = index >= self.pool_count()
                || workload.pool_layout.pool_of(i, workload.domains) == index;
            if is_member {
                let domain = FailureDomain::new(format!("d{}", i % workload.domains));
                pool.upsert_engine(now, name, &domain, false);
            }
        }
        self.apply_rate_limits(now, &mut pool);
        Some(pool)
    }

    /// Number of pools that divide the engines. Placers with a higher index place on all engines.
    pub(super) fn pool_count(&self) -> usize {
        self.workload.pool_layout.pool_count(self.workload.domains)
    }

    pub(super) fn add_placers(&mut self, now: Instant) {
        let isolated = self
            .workload
            .faults
            .isolated_nodes
            .map_or(0, |isolated| isolated.count);
        let second_owners = usize::from(self.workload.faults.split_brain.is_some());
        for index in 0..self.pool_count() + second_owners + isolated {
            let Some(pool) = self.new_pool(now, index) else {
                return;
            };
            let published = pool.load(now);
            self.placers.push(Placer {
                pool,
                published,
                stalled_until_ms: 0.0,
                wakeup_at: None,
            });
        }
        self.push(PUBLISH_INTERVAL_MS, Event::PublishLoads);
    }

    /// Publishes the load of each pool to all nodes.
    pub(super) fn publish_loads(&mut self, at_ms: f64) {
        let now = self.instant(at_ms);
        for placer in &mut self.placers {
            placer.published = placer.pool.load(now);
        }
        if at_ms < self.workload.length_s * 1000.0 {
            self.push(at_ms + PUBLISH_INTERVAL_MS, Event::PublishLoads);
        }
    }

    /// Chooses the placer for a request.
    pub(super) fn route(&mut self, at_ms: f64, i: usize) -> usize {
        let pools = self.pool_count();
        if let Some(isolated) = self.workload.faults.isolated_nodes
            && isolated.span.contains(at_ms)
            && self.rng.random::<f64>() < isolated.request_share
        {
            return self.placers.len() - 1 - self.rng.random_range(0..isolated.count);
        }
        let domain = self.rng.random_range(0..self.workload.domains);
        let chosen = match self.workload.pool_layout {
            PoolLayout::Single => 0,
            PoolLayout::Count(_) => self.best_of_two(i),
            PoolLayout::PerDomain => self.own_domain_or_best(i, domain),
        };
        let split = self.workload.faults.split_brain;
        if chosen == 0 && split.is_some_and(|s| s.span.contains(at_ms)) && self.rng.random::<bool>()
        {
            return pools;
        }
        chosen
    }

    fn is_long(&self, i: usize) -> bool {
        // Only prompts of the first kind are prefilled within a fraction of a pass.
        self.requests[i].kind > 0
    }

    fn cost(&self, placer: usize, is_long: bool) -> f64 {
        let load = &self.placers[placer].published;
        if is_long {
            load.prefill_ms_per_engine()
        } else {
            load.stream_share()
        }
    }

    fn best_of_two(&mut self, i: usize) -> usize {
        let pools = self.pool_count();
        if self.is_long(i) {
            return self.least_loaded(true);
        }
        if pools < 2 {
            return 0;
        }
        let two = sample(&mut self.rng, pools, 2);
        let (a, b) = (two.index(0), two.index(1));
        if self.cost(b, false) < self.cost(a, false) {
            b
        } else {
            a
        }
    }

    fn own_domain_or_best(&self, i: usize, domain: usize) -> usize {
        let is_long = self.is_long(i);
        let best = self.least_loaded(is_long);
        if self.cost(domain, is_long) > self.cost(best, is_long) * SPILL_FACTOR {
            best
        } else {
            domain
        }
    }

    fn least_loaded(&self, is_long: bool) -> usize {
        let all = 0..self.pool_count();
        let least = all.min_by(|a, b| self.cost(*a, is_long).total_cmp(&self.cost(*b, is_long)));
        least.unwrap_or(0)
    }
}
