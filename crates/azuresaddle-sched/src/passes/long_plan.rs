//! Placement of prompts that are split over several engines.
//!
//! Prompts that take seconds to prefill are handled one after the other, each on the number of
//! engines that completes it soonest. This delays the others less than prefilling several side by
//! side. Every part must fit into a pass that the streams of its engine tolerate.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_millis;
use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::demand_phase::DemandPhase;
use super::engine::{Engine, EngineKey};
use super::long_candidates::{LongCandidate, LongCandidates};
use super::pool_view::PoolView;
use super::request::PlacementRequest;

/// Maximum number of engines for one prompt, set by the engines' interface: one lead and 16
/// helpers.
pub(super) const MAX_ENGINES_PER_PROMPT: usize = 17;

/// Minimum time that one more engine must save, in milliseconds. It covers that engine's own wait
/// for a pass and its messages.
const HELPER_COST_MS: f64 = 2.0;

/// Longest part of a prompt that is late in any case, in milliseconds. Such a prompt waits for more
/// engines rather than take a few from prompts that can still be on time.
const MAX_LATE_PART_MS: f64 = 1000.0;

/// Time before the caller gives up, from which a late prompt takes any engines that complete it in
/// time.
const GIVE_UP_MARGIN: Duration = Duration::from_secs(4);

/// Minimum time that a plan must save to decode on an engine without other streams, in
/// milliseconds. It accounts for the passes that the stream takes from that engine.
const LONE_DECODE_COST_MS: f64 = 200.0;

/// Minimum time that a plan must save per 1,000 prompt tokens of streams that it makes late, in
/// milliseconds.
const DELAY_COST_MS_PER_1K_TOKENS: f64 = 4.0;

/// Longest time until all engines of a plan begin, in milliseconds. Plans that begin later wait, so
/// that a shorter prompt that arrives meanwhile can go first.
const MAX_START_MS: f64 = 120.0;

/// The same while long prompts compete for engines. An engine that is bound further ahead is not
/// available to a prompt that could use it sooner.
const MAX_START_MOSTLY_LONG_MS: f64 = 60.0;

/// Longest time to the first event of a plan that reserves memory, in milliseconds. Memory that is
/// unused for 9 s counts as lost, and it may be used only once the prompt is prefilled.
const MAX_RESERVED_FIRST_EVENT_MS: f64 = 7000.0;

/// Engines for a prompt and the expected effect of using them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlacementPlan {
    /// The engines; the first one is the lead.
    pub(super) engines: Vec<EngineKey>,
    /// Prefill on each engine, in milliseconds.
    pub(super) part_ms: f64,
    /// Time until the last engine begins, in milliseconds.
    pub(super) start_ms: f64,
    /// Time to the first event, in milliseconds.
    pub(super) first_event_ms: f64,
    /// Memory to reserve on each helper, in tokens.
    pub(super) helper_memory_tokens: u64,
    /// Prompt tokens of the streams that the plan makes late.
    pub(super) delayed_tokens: u64,
    /// Whether the lead has no other stream to decode.
    pub(super) lead_decodes_alone: bool,
}

impl PlacementPlan {
    /// Whether the first event comes in time.
    pub(super) fn is_on_time(&self, now: Instant, request: &PlacementRequest) -> bool {
        now + saturating_millis(self.first_event_ms) <= request.first_event_by
    }

    /// Whether to start now rather than wait for more or earlier engines.
    ///
    /// A prompt that runs whole on the only free engine occupies it for seconds. If that plan makes
    /// it late, it waits as long as more engines could still complete it in time. A plan that would
    /// end after the deadline never starts, since it would occupy engines for nothing.
    pub(super) fn should_start(
        &self,
        view: &PoolView<'_>,
        request: &PlacementRequest,
        engines: usize,
    ) -> bool {
        let now = view.now;
        let max_start_ms = match view.phase {
            DemandPhase::MostlyLong => MAX_START_MOSTLY_LONG_MS,
            DemandPhase::Unknown | DemandPhase::Mixed => MAX_START_MS,
        };
        if self.start_ms > max_start_ms {
            return false;
        }
        if self.helper_memory_tokens > 0 && self.first_event_ms > MAX_RESERVED_FIRST_EVENT_MS {
            return false;
        }
        let first_event_at = now + saturating_millis(self.first_event_ms);
        if first_event_at > request.give_up_at
            || first_event_at + request.decode_time() > request.deadline
        {
            return false;
        }
        if first_event_at <= request.first_event_by {
            return true;
        }
        let prefill_ms = self.part_ms * self.engines.len() as f64;
        let most = engines.clamp(1, MAX_ENGINES_PER_PROMPT);
        let least = saturating_millis(prefill_ms / most as f64);
        if now + least <= request.first_event_by {
            return false;
        }
        let usual_part_ms = prefill_ms / most as f64;
        self.part_ms <= MAX_LATE_PART_MS.max(usual_part_ms * 1.5)
            || first_event_at + GIVE_UP_MARGIN >= request.give_up_at
    }
}

/// Plans the prefill that completes soonest and makes streams of at most `delayed_tokens` prompt
/// tokens late. Returns `None` if no set of engines can take the prompt.
pub(super) fn plan_long(
    view: &PoolView<'_>,
    candidates: &LongCandidates,
    request: &PlacementRequest,
    prefill_ms: f64,
    delayed_tokens: u64,
) -> Option<PlacementPlan> {
    let candidates = candidates.for_request(view, request);
    let memory = request.prompt_tokens + request.answer_tokens;
    let fewest = memory.div_ceil(view.spec.memory_tokens.max(1)) as usize;
    let most = candidates.len().min(if view.options.split_long {
        MAX_ENGINES_PER_PROMPT
    } else {
        fewest
    });
    let mut best: Option<(f64, PlacementPlan)> = None;
    for count in 1..=most {
        let part_ms = prefill_ms / count as f64;
        let split = Split {
            memory,
            count,
            part_ms,
            delayed_tokens,
            domain: &request.domain,
        };
        let Some(plan) = plan_with(view, &candidates, &split) else {
            continue;
        };
        let delay_cost_ms = plan.delayed_tokens as f64 / 1000.0 * DELAY_COST_MS_PER_1K_TOKENS;
        let lone_decode_cost_ms = if plan.lead_decodes_alone {
            LONE_DECODE_COST_MS
        } else {
            0.0
        };
        let cost = plan.first_event_ms
            + HELPER_COST_MS * count as f64
            + delay_cost_ms
            + lone_decode_cost_ms;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, plan));
        }
    }
    best.map(|(_, plan)| plan)
}

/// One way to split a prompt over engines.
#[derive(Clone, Copy, Debug)]
struct Split<'a> {
    /// Memory that the stream needs, in tokens.
    memory: u64,
    count: usize,
    part_ms: f64,
    /// Maximum number of prompt tokens of streams that may be made late.
    delayed_tokens: u64,
    /// Failure domain of the node that will relay the answer.
    domain: &'a FailureDomain,
}

/// Plans with exactly `split.count` engines.
fn plan_with(
    view: &PoolView<'_>,
    candidates: &[LongCandidate],
    split: &Split<'_>,
) -> Option<PlacementPlan> {
    let spec = view.spec;
    let others = split.count as u64 - 1;
    let helper_memory_tokens = if split.memory <= spec.memory_tokens {
        0
    } else {
        split.memory.div_ceil(split.count as u64)
    };
    let lead_memory = split.memory.saturating_sub(helper_memory_tokens * others);
    let can_lead = |c: &&LongCandidate| c.can_lead && c.free_tokens >= lead_memory;
    let able: Vec<&LongCandidate> = candidates
        .iter()
        .filter(|c| c.free_tokens >= helper_memory_tokens)
        .collect();
    let is_local = |c: &LongCandidate| view.engines[c.key].domain == *split.domain;
    let leads = || able.iter().copied().filter(can_lead);
    let fitting = leads().filter(|c| fits(view, c, split.part_ms));
    let stall_safe = leads().filter(|c| !c.is_prefilling && c.stall_headroom_ms >= split.part_ms);
    let lead = best_lead(fitting, is_local).or_else(|| best_lead(stall_safe, is_local))?;
    let mut left = split.delayed_tokens;
    let delayed = delayed_tokens(view, lead, split.part_ms);
    if delayed > left && view.options.check_pauses {
        return None;
    }
    left = left.saturating_sub(delayed);
    let helpers = able.iter().copied().filter(|c| c.key != lead.key);
    let mut chosen = vec![lead];
    chosen.extend(choose_helpers(
        view,
        &helpers.collect::<Vec<_>>(),
        split,
        left,
    )?);
    let start_ms = chosen.iter().map(|c| c.start_ms).fold(0.0, f64::max);
    let first_event_ms = chosen
        .iter()
        .map(|c| c.start_ms + c.base_ms + split.part_ms * c.pace_factor)
        .fold(0.0, f64::max);
    Some(PlacementPlan {
        engines: chosen.iter().map(|c| c.key).collect(),
        part_ms: split.part_ms,
        start_ms,
        first_event_ms,
        helper_memory_tokens,
        delayed_tokens: chosen
            .iter()
            .map(|c| delayed_tokens(view, c, split.part_ms))
            .sum(),
        lead_decodes_alone: lead.led_stream_count == 0,
    })
}

fn fits(view: &PoolView<'_>, candidate: &LongCandidate, part_ms: f64) -> bool {
    !view.options.check_pauses || candidate.headroom_ms >= part_ms
}

/// Chooses the helpers that can begin soonest; those that make no stream late come first.
fn choose_helpers<'a>(
    view: &PoolView<'_>,
    helpers: &[&'a LongCandidate],
    split: &Split<'_>,
    mut delayed_tokens_left: u64,
) -> Option<Vec<&'a LongCandidate>> {
    let count = split.count - 1;
    let free = helpers.iter().filter(|c| fits(view, c, split.part_ms));
    let mut chosen: Vec<&LongCandidate> = free.take(count).copied().collect();
    if chosen.len() == count {
        return Some(chosen);
    }
    if delayed_tokens_left == 0 {
        return None;
    }
    let mut others: Vec<(u64, &LongCandidate)> = helpers
        .iter()
        .filter(|c| c.headroom_ms < split.part_ms && !c.is_prefilling)
        .filter(|c| c.stall_headroom_ms >= split.part_ms)
        .map(|c| (delayed_tokens(view, c, split.part_ms), *c))
        .collect();
    others.sort_by_key(|(delayed, _)| *delayed);
    for (delayed, candidate) in others {
        if chosen.len() == count || delayed > delayed_tokens_left {
            break;
        }
        delayed_tokens_left -= delayed;
        chosen.push(candidate);
    }
    (chosen.len() == count).then_some(chosen)
}

/// Prompt tokens of the streams that a part makes late.
fn delayed_tokens(view: &PoolView<'_>, candidate: &LongCandidate, part_ms: f64) -> u64 {
    let engine = &view.engines[candidate.key];
    engine.delayed_tokens(engine.next_pass_ms(view.spec, part_ms))
}

/// Chooses the engine that decodes the answer.
///
/// A decode step costs nearly the same for one stream as for sixteen, and a decoding stream limits
/// every later part on its engine. So the answer is decoded where other streams already are,
/// preferring those with the shortest pauses, and engines without streams stay free for the longest
/// parts. Decoding the answer to a medium-length prompt alone takes four times the engine time that
/// its prefill takes.
fn best_lead<'a>(
    able: impl Iterator<Item = &'a LongCandidate>,
    is_local: impl Fn(&LongCandidate) -> bool,
) -> Option<&'a LongCandidate> {
    let rank = |c: &LongCandidate| {
        let is_late = c.start_ms > MAX_START_MS;
        (
            is_late,
            c.led_stream_count == 0,
            c.max_pass_ms,
            c.start_ms + c.base_ms,
        )
    };
    able.min_by(|a, b| {
        let (x, y) = (rank(a), rank(b));
        (x.0, x.1)
            .cmp(&(y.0, y.1))
            .then(x.2.total_cmp(&y.2))
            .then_with(|| is_local(b).cmp(&is_local(a)))
            .then(x.3.total_cmp(&y.3))
    })
}

/// Names of a plan's helpers.
pub(super) fn helper_names(
    engines: &SlotMap<EngineKey, Engine>,
    plan: &PlacementPlan,
) -> Vec<HostName> {
    plan.engines[1..]
        .iter()
        .map(|key| engines[*key].name.clone())
        .collect()
}
