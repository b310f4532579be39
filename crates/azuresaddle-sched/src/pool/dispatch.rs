//! Placement of waiting requests on targets.

use std::time::Duration;

use azuresaddle_core::prompt::{BLOCK_BYTES, BYTES_PER_TOKEN};
use tokio::time::Instant;

use super::Pool;
use crate::action::Action;
use crate::class::Class;
use crate::queue::WaitKey;
use crate::reservation_request::ReservationRequest;
use crate::target::{Target, TargetKey};

/// Maximum number of waiting requests of a class that are tried in one scan of the queue.
const MAX_TRIED: usize = 32;

/// Fraction of the reference rate below which a target counts as slow.
const SLOW_RATE: f64 = 0.4;

/// Fraction of a target's memory that one request may use; larger requests are split across
/// targets.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// Interval between requests sent to a slow target to measure its rate again.
const SLOW_PROBE_INTERVAL: Duration = Duration::from_secs(5);

impl Pool {
    /// Grants all reservations that are possible now and refuses overdue requests.
    pub fn dispatch(&mut self, now: Instant) {
        self.refuse_overdue(now);
        for class in Class::ALL {
            while self.dispatch_one(now, class) {}
        }
        if self.options.backfill {
            self.plan_drains(now);
        }
    }

    /// Grants a reservation to the first request of a class that fits; false if none does.
    fn dispatch_one(&mut self, now: Instant, class: Class) -> bool {
        if self.queue.is_class_empty(class) {
            return false;
        }
        let class_targets = self.class_targets(now, class);
        let most_free = class_targets
            .candidates
            .iter()
            .map(|k| self.targets[*k].free())
            .max();
        let Some(most_free) = most_free else {
            return false;
        };
        let tries = if self.options.backfill { MAX_TRIED } else { 1 };
        let found = self.queue.in_order(class).take(tries).find_map(|key| {
            let targets = self.place(now, key, &class_targets, most_free)?;
            Some((key, targets))
        });
        let Some((key, targets)) = found else {
            return false;
        };
        self.start(now, key, &targets);
        true
    }

    /// Determines the targets that a class may use now.
    fn class_targets(&self, now: Instant, class: Class) -> ClassTargets {
        let (room, none_running) = match class {
            Class::Short => (usize::MAX, false),
            Class::Long => {
                let allowed = self.max_long_targets(now);
                let room = allowed.saturating_sub(self.targets_unavailable_to_short());
                (room, !self.any_long_prefill())
            }
        };
        ClassTargets {
            candidates: self.candidates(now, class),
            room,
            none_running,
        }
    }

    fn start(&mut self, now: Instant, key: WaitKey, targets: &[TargetKey]) {
        let Some(waiting) = self.queue.remove(key) else {
            return;
        };
        self.cancel_drain_for(key);
        let class = waiting.class;
        self.fair[class.index()].on_dispatch(waiting.tag);
        self.reset_fairness_if_idle(class);
        let slow_below = self.slow_rate();
        for target in targets {
            let target = &mut self.targets[*target];
            if target.rate.tokens_per_second() < slow_below {
                target.probe_at = now + SLOW_PROBE_INTERVAL;
            }
        }
        let grant = self.reserve(now, waiting, targets);
        self.actions.push(Action::Reserved(grant));
    }

    /// Targets that can accept a prefill of the class now.
    fn candidates(&self, now: Instant, class: Class) -> Vec<TargetKey> {
        let ahead = match class {
            Class::Short => self.options.prefill_lead_time,
            Class::Long => Duration::ZERO,
        };
        let slow_below = self.slow_rate();
        self.targets
            .iter()
            .filter(|(_, t)| t.has_prefill_slot(now, ahead) && t.accepts_work(now))
            .filter(|(_, t)| t.rate.tokens_per_second() >= slow_below || now >= t.probe_at)
            .map(|(key, _)| key)
            .collect()
    }

    /// Chooses the targets for a request; `None` if it does not fit now.
    fn place(
        &self,
        now: Instant,
        key: WaitKey,
        class_targets: &ClassTargets,
        most_free: u64,
    ) -> Option<Vec<TargetKey>> {
        let waiting = self.queue.get(key)?;
        let request = &waiting.request;
        let members = self.member_count_for(request);
        // A request that needs more targets than the class may use runs if no other of its class is
        // running.
        let room = class_targets.room.saturating_add(self.drained_for(key));
        if members == 0 || (members > room && !class_targets.none_running) {
            return None;
        }
        let memory = request.memory_tokens().div_ceil(members as u64);
        if memory > most_free {
            return None;
        }
        let allowed = |target: &Target| {
            target.free() >= memory
                && !request.exclude.contains(&target.spec.name)
                && self.respects_drain(now, target, key, waiting.prefill)
        };
        let mut fitting: Vec<_> = class_targets
            .candidates
            .iter()
            .copied()
            .filter(|k| allowed(&self.targets[*k]))
            .collect();
        if fitting.len() < members {
            return None;
        }
        if members == 1 {
            let best = fitting
                .into_iter()
                .min_by(|a, b| self.compare(now, request, *a, *b))?;
            return Some(vec![best]);
        }
        fitting.sort_by_key(|k| self.targets[*k].free());
        fitting.truncate(members);
        Some(fitting)
    }

    /// Orders targets for a request: earliest first token, then least free memory (best fit).
    fn compare(
        &self,
        now: Instant,
        request: &ReservationRequest,
        a: TargetKey,
        b: TargetKey,
    ) -> std::cmp::Ordering {
        let rank = |key: TargetKey| {
            let target = &self.targets[key];
            let tokens = self.uncached_tokens(key, &request.prefix, request.prompt_tokens);
            let wait = target.prefill_ends_at.saturating_duration_since(now);
            let first_token = wait + target.rate.time_for(tokens);
            // Rounding to milliseconds keeps measurement noise in the rates from deciding.
            (first_token.as_millis(), target.free())
        };
        rank(a).cmp(&rank(b))
    }

    /// Number of targets whose memory the request needs; 0 if the pool is too small.
    pub(super) fn member_count_for(&self, request: &ReservationRequest) -> usize {
        let usable = self.targets.values();
        let usable = usable.filter(|t| !t.leaving && !request.exclude.contains(&t.spec.name));
        let sizes = usable.map(|t| t.spec.memory_tokens);
        let needed = request.memory_tokens();
        if sizes
            .clone()
            .any(|size| size as f64 * MAX_MEMORY_SHARE >= needed as f64)
        {
            return 1;
        }
        let mut sizes: Vec<u64> = sizes.collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        min_member_count(&sizes, needed, MAX_MEMORY_SHARE)
            .or_else(|| min_member_count(&sizes, needed, 1.0))
            .unwrap_or(0)
    }

    /// Maximum number of targets that may run long prefills now.
    pub(super) fn max_long_targets(&self, now: Instant) -> usize {
        let open = self
            .targets
            .values()
            .filter(|t| !t.leaving && t.breaker.open_until(now).is_none());
        self.demand.max_long_targets(open.count())
    }

    /// Prompt tokens that a target has to process because they are not in its prefix cache.
    pub(super) fn uncached_tokens(
        &self,
        key: TargetKey,
        prefix: &[u64],
        prompt_tokens: u64,
    ) -> f64 {
        if !self.options.prefix_affinity || prefix.is_empty() {
            return prompt_tokens as f64;
        }
        let cached =
            self.targets[key].prefixes.cached_blocks(prefix) * (BLOCK_BYTES / BYTES_PER_TOKEN);
        prompt_tokens.saturating_sub(cached as u64) as f64
    }

    /// Fewest prompt tokens that any available target would have to process.
    pub(super) fn best_uncached_tokens(&self, now: Instant, request: &ReservationRequest) -> f64 {
        if !self.options.prefix_affinity || request.prefix.is_empty() {
            return request.prompt_tokens as f64;
        }
        self.targets
            .iter()
            .filter(|(_, t)| t.accepts_work(now))
            .map(|(key, _)| self.uncached_tokens(key, &request.prefix, request.prompt_tokens))
            .min_by(f64::total_cmp)
            .unwrap_or(request.prompt_tokens as f64)
    }

    /// Rate below which a target counts as slow, in tokens per second.
    fn slow_rate(&self) -> f64 {
        if self.options.avoid_slow {
            SLOW_RATE * self.reference_rate()
        } else {
            0.0
        }
    }
}

/// Fewest targets, largest first, such that the request needs at most `share` of the memory of
/// each.
fn min_member_count(sizes: &[u64], needed: u64, share: f64) -> Option<usize> {
    // The members hold equal parts, so the smallest one is the limit.
    (1..=sizes.len()).find(|n| sizes[n - 1] as f64 * share >= needed.div_ceil(*n as u64) as f64)
}

/// Targets available to a class in one scan of its queue.
struct ClassTargets {
    candidates: Vec<TargetKey>,
    /// Number of further targets that the class may use.
    room: usize,
    /// Whether no long prefill is running; always false for short requests.
    none_running: bool,
}
