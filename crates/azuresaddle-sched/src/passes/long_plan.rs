//! Placement of prompts that are split over several engines.
//!
//! Answers the pattern of prompts that take seconds to read: one after the other is read by as many
//! engines as end it soonest, which delays the others less than reading several side by side, and
//! every part must fit in a pass that the streams of its engine can bear.

use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;
use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::ask::PassAsk;
use super::engine::{Engine, EngineId, longest_pass_ms};
use super::round::Round;

/// Engines that one prompt may be read by beside the first, by the engines' interface.
const MAX_HELPERS: usize = 16;

/// Time by which one more engine must bring the end nearer, in milliseconds: its own share of
/// waiting for a pass and of messages.
const HELPER_COST_MS: f64 = 6.0;

/// Longest part of a prompt that is late anyway, in milliseconds; it waits for more engines rather
/// than keep a few from prompts that can still be on time.
const MAX_LATE_PART_MS: f64 = 1000.0;

/// Time before the deadline from which a late prompt takes any engines that end it in time.
const LAST_CHANCE: Duration = Duration::from_secs(4);

/// Longest time until all engines of a plan begin; a plan further ahead waits, so that a quicker
/// prompt that arrives meanwhile can go first.
const MAX_START_MS: f64 = 60.0;

/// Engines for a long prompt.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LongPlan {
    /// The first engine leads.
    pub(super) engines: Vec<EngineId>,
    /// Reading on each engine, in milliseconds.
    pub(super) part_ms: f64,
    /// Milliseconds until the last engine begins.
    pub(super) start_ms: f64,
    /// Milliseconds to the first event.
    pub(super) first_event_ms: f64,
    /// Memory to reserve on each helper, in tokens.
    pub(super) helper_memory_tokens: u64,
}

impl LongPlan {
    /// Whether to begin now rather than to wait for more or sooner engines.
    ///
    /// A prompt that was left whole on the only free engine kept it for 4 to 10 s, so one that such
    /// a plan makes late waits while more engines could still bring it home in time.
    pub(super) fn is_due(&self, now: Instant, ask: &PassAsk, engines: usize) -> bool {
        if self.start_ms > MAX_START_MS {
            return false;
        }
        let first_event_at = now + Duration::from_secs_f64(self.first_event_ms / 1000.0);
        if first_event_at <= ask.first_event_by {
            return true;
        }
        let read_ms = self.part_ms * self.engines.len() as f64;
        let most = engines.min(MAX_HELPERS + 1).max(1);
        let least = Duration::from_secs_f64(read_ms / most as f64 / 1000.0);
        if now + least <= ask.first_event_by {
            return false;
        }
        let usual_part_ms = read_ms / most as f64;
        self.part_ms <= MAX_LATE_PART_MS.max(usual_part_ms * 1.5)
            || first_event_at + LAST_CHANCE >= ask.deadline
    }
}

/// An engine that could read a part.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: EngineId,
    /// Milliseconds until its next pass.
    start_ms: f64,
    /// Time of that pass without the part, in milliseconds.
    base_ms: f64,
    /// Longest part that it can take, in milliseconds.
    room_ms: f64,
    /// Longest part that it can take as the engine that writes the answer.
    lead_room_ms: f64,
    /// Longest pass that the streams there bear, in milliseconds.
    longest_pass_ms: f64,
    free_tokens: u64,
    can_lead: bool,
    same_domain: bool,
}

/// The engines that end the reading soonest; `None` where no set of engines can bear it.
pub(super) fn plan_long(round: &Round<'_>, ask: &PassAsk, read_ms: f64) -> Option<LongPlan> {
    let mut candidates = candidates(round, ask);
    // Soonest first; among equals the ones with most room, which run no short streams.
    candidates.sort_by(|a, b| {
        let by_start = a.start_ms.total_cmp(&b.start_ms);
        by_start.then(b.room_ms.total_cmp(&a.room_ms))
    });
    let memory = ask.prompt_tokens + ask.answer_tokens;
    let fewest = memory.div_ceil(round.spec.memory_tokens.max(1)) as usize;
    let most = candidates.len().min(if round.options.split_long {
        MAX_HELPERS + 1
    } else {
        fewest
    });
    let mut best: Option<(f64, LongPlan)> = None;
    for count in 1..=most {
        let part_ms = read_ms / count as f64;
        let Some(plan) = plan_with(&candidates, round.spec, memory, count, part_ms) else {
            continue;
        };
        let cost = plan.first_event_ms + HELPER_COST_MS * count as f64;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, plan));
        }
    }
    best.map(|(_, plan)| plan)
}

fn candidates(round: &Round<'_>, ask: &PassAsk) -> Vec<Candidate> {
    let Round {
        now,
        spec,
        engines,
        options,
    } = *round;
    let longest = longest_pass_ms(ask.pause);
    engines
        .iter()
        .filter(|(_, e)| e.is_open(now) && !ask.exclude.contains(&e.name))
        .filter(|(_, e)| e.can_help(spec))
        .filter(|(_, e)| !options.protect_reads || !e.would_push_aside(now))
        .map(|(key, e)| Candidate {
            key,
            start_ms: e.next_pass_in(now).as_secs_f64() * 1000.0,
            base_ms: e.next_pass_ms(spec, 0.0),
            room_ms: if options.check_pauses {
                e.room_ms(spec, f64::INFINITY)
            } else {
                f64::INFINITY
            },
            lead_room_ms: if e.leads.is_empty() || !options.check_pauses {
                f64::INFINITY
            } else {
                e.room_ms(spec, longest)
            },
            longest_pass_ms: e.longest_pass_ms(),
            free_tokens: e.free_tokens(spec),
            can_lead: e.has_slot(spec),
            same_domain: e.domain == ask.domain,
        })
        .collect()
}

/// A plan with exactly `count` engines.
fn plan_with(
    candidates: &[Candidate],
    spec: &EngineSpec,
    memory: u64,
    count: usize,
    part_ms: f64,
) -> Option<LongPlan> {
    let bears = |c: &&Candidate| c.room_ms >= part_ms;
    let mut chosen: Vec<Candidate> = candidates.iter().filter(bears).take(count).copied().collect();
    if chosen.len() < count {
        return None;
    }
    let helper_memory_tokens = if memory <= spec.memory_tokens {
        0
    } else {
        memory.div_ceil(count as u64)
    };
    let lead_memory = if helper_memory_tokens > 0 {
        memory.saturating_sub(helper_memory_tokens * (count as u64 - 1))
    } else {
        memory
    };
    if helper_memory_tokens > 0 && chosen.iter().any(|c| c.free_tokens < helper_memory_tokens) {
        return None;
    }
    let can_lead = |c: &Candidate| {
        c.can_lead && c.free_tokens >= lead_memory && c.lead_room_ms >= part_ms
    };
    let lead = match best_lead(&chosen, can_lead) {
        Some(at) => at,
        None => {
            // None of the soonest can hold the stream: one that can takes the last place.
            let other = candidates
                .iter()
                .find(|c| can_lead(c) && chosen.iter().all(|o| o.key != c.key))?;
            let last = chosen.len() - 1;
            chosen[last] = *other;
            last
        }
    };
    chosen.swap(0, lead);
    let start_ms = chosen.iter().map(|c| c.start_ms).fold(0.0, f64::max);
    let first_event_ms = chosen
        .iter()
        .map(|c| c.start_ms + c.base_ms + part_ms)
        .fold(0.0, f64::max);
    Some(LongPlan {
        engines: chosen.iter().map(|c| c.key).collect(),
        part_ms,
        start_ms,
        first_event_ms,
        helper_memory_tokens,
    })
}

/// Position of the engine that should write the answer.
///
/// A writing stream bounds every later part on its engine, so it goes where another stream bounds
/// them as much already, and engines without streams stay free for the longest parts.
fn best_lead(chosen: &[Candidate], can_lead: impl Fn(&Candidate) -> bool) -> Option<usize> {
    let able = chosen.iter().enumerate().filter(|(_, c)| can_lead(c));
    let rank = |c: &Candidate| (c.longest_pass_ms, c.start_ms + c.base_ms, c.same_domain);
    able.min_by(|(_, a), (_, b)| {
        let (a, b) = (rank(a), rank(b));
        let by_domain = b.2.cmp(&a.2);
        a.0.total_cmp(&b.0).then(by_domain).then(a.1.total_cmp(&b.1))
    })
    .map(|(at, _)| at)
}

/// Names of a plan's helpers.
pub(super) fn helper_names(
    engines: &SlotMap<EngineId, Engine>,
    plan: &LongPlan,
) -> Vec<HostName> {
    plan.engines[1..]
        .iter()
        .map(|key| engines[*key].name.clone())
        .collect()
}
