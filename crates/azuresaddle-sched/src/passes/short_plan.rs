//! Placement of prompts that need only a fraction of a pass.
//!
//! Many short prompts usually arrive beside few long ones. Short streams are packed on as few
//! engines as keep their pauses, so that the other engines can prefill long prompts without
//! delaying any stream.

use azuresaddle_core::deployment::EngineSpec;
use tokio::time::Instant;

use super::engine::{Engine, EngineKey};
use super::pool_view::PoolView;
use super::request::PlacementRequest;

/// Fraction of the time to the first event that the wait for a pass and the prefill may take. The
/// rest covers the node, the network and errors of the estimate.
const FIRST_EVENT_SHARE: f64 = 0.62;

/// An engine for a short prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShortPlan {
    pub(super) engine: EngineKey,
    /// Time to the first event, in milliseconds.
    pub(super) first_event_ms: f64,
}

/// What must hold for an engine to take a short prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShortRequirement {
    /// All pauses are kept and the prompt's first event is on time.
    OnTime,
    /// All pauses are kept; the prompt is late already.
    KeepPauses,
    /// No condition: the prompt's caller is about to give up.
    Nothing,
}

/// An engine with a free slot.
#[derive(Clone, Copy, Debug)]
struct ShortCandidate {
    key: EngineKey,
    /// Time until its next pass, in milliseconds.
    wait_ms: f64,
    /// Duration of that pass without another prompt, in milliseconds.
    base_ms: f64,
    /// Longest prefill that makes no stream late, in milliseconds.
    headroom_ms: f64,
    free_tokens: u64,
    /// Slowdown relative to a reference engine; 1 for full speed.
    pace_factor: f64,
}

impl ShortCandidate {
    /// Captures the current state of an engine; `None` if nothing may start there.
    fn new(now: Instant, spec: &EngineSpec, key: EngineKey, engine: &Engine) -> Option<Self> {
        (engine.accepts_work(now) && engine.has_slot(spec)).then(|| Self {
            key,
            wait_ms: engine.next_pass_in(now).as_secs_f64() * 1000.0,
            base_ms: engine.next_pass_ms(spec, 0.0),
            headroom_ms: engine.headroom_ms(spec),
            free_tokens: engine.free_tokens(spec),
            pace_factor: engine.pace.factor(),
        })
    }
}

/// Snapshot of the engines that could take short prompts.
///
/// Built once for all prompts that are tried in a dispatch, so that the streams of an engine are
/// not summed up again for every prompt that finds no capacity.
#[derive(Debug)]
pub(super) struct ShortCandidates(Vec<ShortCandidate>);

impl ShortCandidates {
    /// Collects all engines with a free slot.
    pub(super) fn new(view: &PoolView<'_>) -> Self {
        let all = view.engines.iter();
        let available = all.filter_map(|(key, e)| ShortCandidate::new(view.now, view.spec, key, e));
        Self(available.collect())
    }

    /// Updates one engine after a placement.
    pub(super) fn refresh(&mut self, view: &PoolView<'_>, key: EngineKey) {
        let Some(at) = self.0.iter().position(|c| c.key == key) else {
            return;
        };
        match ShortCandidate::new(view.now, view.spec, key, &view.engines[key]) {
            Some(candidate) => self.0[at] = candidate,
            None => {
                self.0.swap_remove(at);
            }
        }
    }

    /// Chooses the fullest engine that meets the requirement.
    pub(super) fn plan(
        &self,
        view: &PoolView<'_>,
        request: &PlacementRequest,
        prefill_ms: f64,
        requirement: ShortRequirement,
    ) -> Option<ShortPlan> {
        let PoolView {
            now,
            engines,
            options,
            ..
        } = *view;
        let memory = request.prompt_tokens + request.answer_tokens;
        let left = request.first_event_by.saturating_duration_since(now);
        let left_ms = left.as_secs_f64() * 1000.0 * FIRST_EVENT_SHARE;
        let mut best: Option<(Rank, ShortPlan)> = None;
        for candidate in &self.0 {
            let first_event_ms =
                candidate.wait_ms + candidate.base_ms + prefill_ms * candidate.pace_factor;
            let is_on_time = first_event_ms <= left_ms;
            let keeps_pauses = !options.check_pauses || candidate.headroom_ms >= prefill_ms;
            let meets_requirement =
                keeps_pauses && (is_on_time || requirement != ShortRequirement::OnTime);
            let is_usable = meets_requirement || requirement == ShortRequirement::Nothing;
            if !is_usable || candidate.free_tokens < memory {
                continue;
            }
            let engine = &engines[candidate.key];
            if request.exclude.contains(&engine.name) || request.must_avoid(now, engine) {
                continue;
            }
            let rank = Rank {
                meets_requirement,
                packed: if options.pack_short {
                    engine.count_with_pause(request.pause)
                } else {
                    0
                },
                same_domain: engine.domain == request.domain,
                negated_first_event_ms: -first_event_ms,
            };
            let plan = ShortPlan {
                engine: candidate.key,
                first_event_ms,
            };
            if best.as_ref().is_none_or(|(b, _)| rank.is_better_than(b)) {
                best = Some((rank, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }
}

/// Ranks engines for a short prompt.
#[derive(Clone, Copy, Debug)]
struct Rank {
    meets_requirement: bool,
    /// Number of streams there whose longest pause is no longer than that of the prompt.
    packed: usize,
    same_domain: bool,
    negated_first_event_ms: f64,
}

impl Rank {
    fn is_better_than(&self, other: &Self) -> bool {
        if self.meets_requirement != other.meets_requirement {
            return self.meets_requirement;
        }
        if !self.meets_requirement {
            return self.negated_first_event_ms > other.negated_first_event_ms;
        }
        let by = (self.packed, self.same_domain).cmp(&(other.packed, other.same_domain));
        by.then(
            self.negated_first_event_ms
                .total_cmp(&other.negated_first_event_ms),
        )
        .is_gt()
    }
}
