//! Draining of a limited number of targets for requests that do not fit yet.

use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use crate::class::Class;
use crate::drain::Drain;
use crate::queue::WaitKey;
use crate::target::{Target, TargetKey};

/// Fraction of the targets that may be drained concurrently; the targets of one request are always
/// allowed.
const MAX_DRAINED_SHARE: f64 = 0.25;

/// Number of requests at the head of each class for which targets may be drained.
const MAX_DRAIN_DEPTH: usize = 8;

impl Pool {
    /// Starts drains for the first requests of each class that don't fit in the free memory.
    pub(super) fn plan_drains(&mut self, now: Instant) {
        for class in Class::ALL {
            let heads: Vec<_> = self.queue.in_order(class).take(MAX_DRAIN_DEPTH).collect();
            for key in heads {
                self.plan_drain(now, key);
            }
        }
    }

    fn plan_drain(&mut self, now: Instant, key: WaitKey) {
        if self.drains.values().any(|d| d.wait == key) {
            return;
        }
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        let members = self.member_count_for(&waiting.request);
        if members == 0 {
            return;
        }
        let drained: usize = self.drains.values().map(|d| d.targets.len()).sum();
        let bound = (self.targets.len() as f64 * MAX_DRAINED_SHARE) as usize;
        if drained > 0 && drained + members > bound {
            return;
        }
        let memory = waiting.request.memory_tokens().div_ceil(members as u64);
        let usable = |target: &Target| {
            target.drain.is_none()
                && target.accepts_work(now)
                && target.spec.memory_tokens >= memory
                && !waiting.request.exclude.contains(&target.spec.name)
        };
        let has_room = |target: &&Target| usable(target) && target.free() >= memory;
        let usable_count = self.targets.values().filter(|t| usable(t)).count();
        if usable_count < members || self.targets.values().filter(has_room).count() >= members {
            // Either draining can't free enough targets, or only a prefill slot is missing.
            return;
        }
        let mut choices: Vec<(Instant, TargetKey)> = self
            .targets
            .iter()
            .filter(|(_, t)| usable(t))
            .map(|(k, _)| (self.memory_free_at(now, k, memory), k))
            .collect();
        choices.sort_unstable();
        choices.truncate(members);
        let ready_at = choices.last().map_or(now, |(at, _)| *at);
        let targets: Vec<_> = choices.into_iter().map(|(_, k)| k).collect();
        let drain = self.drains.insert(Drain {
            wait: key,
            targets: targets.clone(),
            ready_at,
        });
        for target in targets {
            self.targets[target].drain = Some(drain);
        }
    }

    /// When a target is expected to have `memory` tokens free.
    fn memory_free_at(&self, now: Instant, key: TargetKey, memory: u64) -> Instant {
        let target = &self.targets[key];
        let mut free = target.free();
        if free >= memory {
            return now;
        }
        let held = target.reservations.iter().map(|r| &self.reservations[*r]);
        let mut ends: Vec<_> = held
            .map(|r| (r.ends_at.max(now), r.memory_tokens))
            .collect();
        ends.sort_unstable();
        for (at, tokens) in ends {
            free += tokens;
            if free >= memory {
                return at;
            }
        }
        now + self.answers.mean_time()
    }

    /// Whether a request may use a target: it is not drained, or drained for this request, or the
    /// request is expected to end before the drain does.
    pub(super) fn respects_drain(
        &self,
        now: Instant,
        target: &Target,
        key: WaitKey,
        prefill: Duration,
    ) -> bool {
        let Some(drain) = target.drain.and_then(|d| self.drains.get(d)) else {
            return true;
        };
        drain.wait == key || now + prefill + self.answers.mean_time() <= drain.ready_at
    }

    /// Number of targets drained for a request.
    pub(super) fn drained_for(&self, wait: WaitKey) -> usize {
        let own = self.drains.values().filter(|d| d.wait == wait);
        own.map(|d| d.targets.len()).sum()
    }

    pub(super) fn cancel_drain_for(&mut self, wait: WaitKey) {
        self.cancel_drains(|drain| drain.wait == wait);
    }

    pub(super) fn cancel_drains_on(&mut self, target: TargetKey) {
        self.cancel_drains(|drain| drain.targets.contains(&target));
    }

    fn cancel_drains(&mut self, matches: impl Fn(&Drain) -> bool) {
        let keys: Vec<_> = self
            .drains
            .iter()
            .filter(|(_, drain)| matches(drain))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let Some(drain) = self.drains.remove(key) else {
                continue;
            };
            for target in drain.targets {
                if let Some(target) = self.targets.get_mut(target) {
                    target.drain = None;
                }
            }
        }
    }
}
