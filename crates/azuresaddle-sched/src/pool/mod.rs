//! Scheduler of a pool, with its queue and its memory ledger.

mod admission;
mod dispatch;
mod drains;
mod events;
mod ledger;
mod targets;

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::action::Action;
use crate::class::Class;
use crate::demand::Demand;
use crate::drain::{Drain, DrainKey};
use crate::fair_clock::FairClock;
use crate::limits::AccountUsage;
use crate::options::PoolOptions;
use crate::pool_digest::PoolDigest;
use crate::queue::Queue;
use crate::rate::AnswerTimes;
use crate::reservation::{Reservation, ReservationKey};
use crate::retry_budget::RetryBudget;
use crate::target::{Target, TargetKey};

/// Schedules the requests of one pool.
///
/// Call [`Pool::dispatch`] after each batch of events and at [`Pool::next_wakeup`], then carry out
/// the actions that [`Pool::take_actions`] returns.
#[derive(Debug)]
pub struct Pool {
    options: PoolOptions,
    targets: SlotMap<TargetKey, Target>,
    target_names: HashMap<HostName, TargetKey>,
    queue: Queue,
    reservations: SlotMap<ReservationKey, Reservation>,
    by_stream: HashMap<StreamId, ReservationKey>,
    drains: SlotMap<DrainKey, Drain>,
    fair: [FairClock; 2],
    demand: Demand,
    usage: AccountUsage,
    retries: RetryBudget,
    answers: AnswerTimes,
    actions: Vec<Action>,
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(now: Instant, options: PoolOptions) -> Self {
        let answers = AnswerTimes::new(options.initial_decode_step);
        Self {
            options,
            targets: SlotMap::with_key(),
            target_names: HashMap::new(),
            queue: Queue::default(),
            reservations: SlotMap::with_key(),
            by_stream: HashMap::new(),
            drains: SlotMap::with_key(),
            fair: Default::default(),
            demand: Demand::new(now),
            usage: AccountUsage::default(),
            retries: RetryBudget::default(),
            answers,
            actions: Vec::new(),
        }
    }

    /// Returns and clears the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of reservations.
    pub fn running(&self) -> usize {
        self.reservations.len()
    }

    /// Whether the attempt is waiting or running in this pool.
    pub fn knows(&self, stream: StreamId) -> bool {
        self.by_stream.contains_key(&stream) || self.queue.find(stream).is_some()
    }

    /// Summary of this pool, sent to other nodes for [`choose_pool`](crate::choose_pool).
    pub fn digest(&self, now: Instant, pool: PoolId) -> PoolDigest {
        let usable = || self.targets.values().filter(|t| t.accepts_work(now));
        PoolDigest {
            pool,
            usable_targets: usable().count() as u32,
            waiting: self.queue.len() as u32,
            running: self.reservations.len() as u32,
            short_wait: self.expected_wait(now, Class::Short),
            long_wait: self.expected_wait(now, Class::Long),
            memory_tokens: usable().map(|t| t.spec.memory_tokens).sum(),
            short_max_tokens: self.options.short_max_tokens,
        }
    }

    /// When to call [`Self::dispatch`] next if no event occurs before; `None` while nothing waits.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.len() == 0 {
            return None;
        }
        let ready = self
            .targets
            .values()
            .filter_map(|t| self.next_change(now, t));
        // A request is overdue only strictly after its latest start.
        let overdue = self
            .queue
            .next_start_by()
            .map(|at| at + Duration::from_millis(1));
        ready.chain(overdue).min()
    }

    /// When a target may next become available without any event.
    fn next_change(&self, now: Instant, target: &Target) -> Option<Instant> {
        let ready = (target.prefilling.len() == 1 && !self.options.prefill_lead_time.is_zero())
            .then(|| {
                target
                    .prefill_ends_at
                    .checked_sub(self.options.prefill_lead_time)
            })
            .flatten();
        [
            ready,
            target.breaker.open_until(now),
            Some(target.avoided_until),
            Some(target.probe_at),
        ]
        .into_iter()
        .flatten()
        .filter(|at| *at > now)
        .min()
    }
}
