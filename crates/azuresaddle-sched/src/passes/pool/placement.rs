//! Placement of waiting requests.

use std::time::Duration;

use azuresaddle_core::bounded_time::{saturating_millis, scaled};
use tokio::time::Instant;

use super::PassPool;
use super::streams::StreamRecord;
use crate::passes::long_candidates::LongCandidates;
use crate::passes::long_plan::{PlacementPlan, helper_names, plan_long};
use crate::passes::pace::overdue_at;
use crate::passes::pool_view::PoolView;
use crate::passes::queue::Waiting;
use crate::passes::request::{PlacementDecision, PlacementGrant, PlacementId, PlacementRequest};
use crate::passes::short_plan::{ShortCandidates, ShortPlan, ShortRequirement};

/// Maximum number of long prompts that are tried in one dispatch; those behind them wait.
const MAX_TRIED: usize = 16;

/// Maximum number of long prompts that are examined in one dispatch, so that its cost does not grow
/// with the queue.
const MAX_EXAMINED: usize = 128;

/// Fraction of its remaining time that a long prompt must have waited before other streams may be
/// made late for it.
const DELAY_OTHERS_AFTER: f64 = 0.15;

/// Maximum number of prompt tokens of streams made late, as a fraction of the long prompt's own
/// tokens. Requests do not state the value of an answer, so the requested amount of work stands in
/// for it.
const DELAYED_TOKENS_SHARE: f64 = 0.2;

/// Time before its caller gives up, from which a late short prompt takes any engine.
const SHORT_GIVE_UP_MARGIN: Duration = Duration::from_millis(600);

impl PassPool {
    fn requirement_for(&self, now: Instant, request: &PlacementRequest) -> ShortRequirement {
        if request.first_event_by > now {
            ShortRequirement::OnTime
        } else if self.options.late_short_wait && request.give_up_at > now + SHORT_GIVE_UP_MARGIN {
            ShortRequirement::KeepPauses
        } else {
            ShortRequirement::Nothing
        }
    }

    /// Whether another copy of the same suspect runs. The outcome of that copy must be known before
    /// the next is placed; copies that arrive within half a second would otherwise crash as many
    /// engines.
    fn must_wait_for_copy(&self, request: &PlacementRequest) -> bool {
        let Some(suspect) = request.suspect.filter(|_| self.options.suspects_in_turn) else {
            return false;
        };
        let mut placed = self.placed_streams.values();
        placed.any(|stream| stream.suspect == Some(suspect.fingerprint))
    }

    pub(super) fn view(&self, now: Instant) -> PoolView<'_> {
        PoolView {
            now,
            spec: &self.spec,
            engines: &self.engines,
            options: &self.options,
            phase: self.phase,
        }
    }

    /// Places short prompts of a priority: those that can still be on time, or the late ones.
    ///
    /// A late prompt waits for a place where it makes no other stream late, until its caller is
    /// about to give up.
    pub(super) fn place_short(&mut self, now: Instant, priority: u8, on_time: bool) {
        let due: Vec<PlacementId> = self
            .queue
            .iter()
            .take_while(|w| self.is_short(w.prefill_ms))
            .filter(|w| w.position.priority() == priority)
            .filter(|w| on_time == (w.request.first_event_by > now))
            .filter(|w| !self.must_wait_for_copy(&w.request))
            .map(|w| w.request.id)
            .collect();
        if due.is_empty() {
            return;
        }
        let mut candidates = ShortCandidates::new(&self.view(now));
        for id in due {
            // A request placed in this dispatch may be a copy of this one.
            if self
                .queue
                .get(id)
                .is_some_and(|w| self.must_wait_for_copy(&w.request))
            {
                continue;
            }
            let Some(plan) = self.short_plan(now, &candidates, id) else {
                continue;
            };
            let Some(waiting) = self.queue.remove(id) else {
                continue;
            };
            let engine = plan.engine;
            let plan = PlacementPlan {
                engines: vec![engine],
                part_ms: waiting.prefill_ms,
                start_ms: 0.0,
                first_event_ms: plan.first_event_ms,
                helper_memory_tokens: 0,
                delayed_tokens: 0,
                lead_decodes_alone: false,
            };
            self.start(now, waiting, &plan);
            candidates.refresh(&self.view(now), engine);
        }
    }

    fn short_plan(
        &self,
        now: Instant,
        candidates: &ShortCandidates,
        id: PlacementId,
    ) -> Option<ShortPlan> {
        let waiting = self.queue.get(id)?;
        let request = &waiting.request;
        candidates.plan(
            &self.view(now),
            request,
            waiting.prefill_ms,
            self.requirement_for(now, request),
        )
    }

    /// Places long prompts of a priority: those that can still be on time, or the late ones.
    pub(super) fn place_long(&mut self, now: Instant, priority: u8, on_time: bool) {
        if !self.queue.has_long() {
            return;
        }
        let available = self.available_engines(now);
        loop {
            let view = self.view(now);
            let candidates = LongCandidates::new(&view);
            let found = self
                .queue
                .iter_long()
                .filter(|w| w.position.priority() == priority)
                .take(MAX_EXAMINED)
                .filter(|w| on_time == (w.request.first_event_by > now))
                .filter(|w| !self.must_wait_for_copy(&w.request))
                .take(MAX_TRIED)
                .find_map(|w| {
                    let plan = self.plan_for(&view, &candidates, w, available)?;
                    Some((w.request.id, plan))
                });
            let Some((id, plan)) = found else {
                return;
            };
            let Some(waiting) = self.queue.remove(id) else {
                return;
            };
            self.start(now, waiting, &plan);
        }
    }

    /// Returns a plan for a long prompt if it should start now.
    pub(super) fn plan_for(
        &self,
        view: &PoolView<'_>,
        candidates: &LongCandidates,
        waiting: &Waiting,
        available: usize,
    ) -> Option<PlacementPlan> {
        let Waiting {
            request,
            prefill_ms,
            ..
        } = waiting;
        let now = view.now;
        let plan = plan_long(view, candidates, request, *prefill_ms, 0);
        let should_start = |p: &PlacementPlan| {
            !self.options.wait_for_engines || p.should_start(view, request, available)
        };
        let plan = plan.filter(should_start);
        if plan.as_ref().is_some_and(|p| p.is_on_time(now, request)) || !self.options.break_pauses {
            return plan;
        }
        let waited = now.saturating_duration_since(waiting.queued_at);
        let left = request.first_event_by.saturating_duration_since(now);
        if left.is_zero() || waited < scaled(left, DELAY_OTHERS_AFTER) {
            return plan;
        }
        let delayed = (request.prompt_tokens as f64 * DELAYED_TOKENS_SHARE) as u64;
        let lenient = plan_long(view, candidates, request, *prefill_ms, delayed);
        lenient
            .filter(|p| p.is_on_time(now, request) && should_start(p))
            .or(plan)
    }

    pub(super) fn start(&mut self, now: Instant, waiting: Waiting, plan: &PlacementPlan) {
        let is_long = !self.is_short(waiting.prefill_ms);
        if !is_long {
            self.short_load.on_start(now);
            self.short_starts.on_start(now);
        }
        self.fair_clocks[usize::from(is_long)].on_dispatch(waiting.fair_tag);
        let request = waiting.request;
        let grant = PlacementGrant {
            lead: self.engines[plan.engines[0]].name.clone(),
            helpers: helper_names(&self.engines, plan),
            helper_memory_tokens: plan.helper_memory_tokens,
            first_event_in: saturating_millis(plan.first_event_ms),
        };
        let record = StreamRecord {
            id: request.id,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            pause: request.pause,
            helper_memory_tokens: plan.helper_memory_tokens,
            overdue_at: Some(overdue_at(now, grant.first_event_in)),
            suspect: request.suspect,
        };
        for key in &plan.engines {
            let engine = &mut self.engines[*key];
            engine.take_rate_token(now);
            engine.on_pass_planned(engine.next_pass_ms(&self.spec, plan.part_ms));
        }
        self.add_stream(&record, plan.engines[0], plan.engines[1..].to_vec());
        let first_event = now + grant.first_event_in;
        if let Some(lead) = self.engines[plan.engines[0]].led_streams.last_mut() {
            lead.is_late = first_event > request.first_event_by;
        }
        for key in &plan.engines {
            self.engines[*key].add_prefill(now, &self.spec, plan.part_ms);
        }
        self.decisions
            .push((request.id, PlacementDecision::Granted(grant)));
    }
}
