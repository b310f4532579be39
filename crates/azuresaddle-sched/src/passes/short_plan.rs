//! Placement of prompts that are read in a fraction of a pass.
//!
//! Answers the pattern of many short prompts beside few long ones: short streams are packed on as
//! few engines as keep their pauses, so that the others stay free to read long prompts without a
//! pass that somebody waits for.

use azuresaddle_core::deployment::EngineSpec;
use tokio::time::Instant;

use super::engine::{Engine, EngineKey};
use super::pool_view::PoolView;
use super::request::PlacementRequest;

/// Part of the time to the first event that the wait for a pass and the read may take; the rest
/// covers the node, the network and the error of the estimate.
const FIRST_EVENT_SHARE: f64 = 0.62;

/// An engine for a short prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShortPlan {
    pub(super) engine: EngineKey,
    /// Milliseconds to the first event.
    pub(super) first_event_ms: f64,
}

/// What an engine for a short prompt must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShortRequirement {
    /// Every pause, and the prompt's own first event on time.
    OnTime,
    /// Every pause; the prompt is late already.
    KeepPauses,
    /// Nothing: the prompt's caller is about to give up.
    Nothing,
}

/// An engine with a free slot, as short prompts see it.
#[derive(Clone, Copy, Debug)]
struct ShortCandidate {
    key: EngineKey,
    /// Milliseconds until its next pass.
    wait_ms: f64,
    /// Time of that pass without another prompt, in milliseconds.
    base_ms: f64,
    /// Longest read that makes no stream late, in milliseconds.
    headroom_ms: f64,
    free_tokens: u64,
    /// Time of its work against that of a usual engine.
    pace_factor: f64,
}

impl ShortCandidate {
    /// An engine as it is now; `None` where nothing may start there.
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

/// The engines that could take short prompts, at one moment.
///
/// Built once for all prompts that are tried in a round, so that the streams of an engine are not summed up again for
/// every prompt that finds no room.
#[derive(Debug)]
pub(super) struct ShortCandidates(Vec<ShortCandidate>);

impl ShortCandidates {
    /// All engines with a free slot.
    pub(super) fn new(view: &PoolView<'_>) -> Self {
        let all = view.engines.iter();
        let available = all.filter_map(|(key, e)| ShortCandidate::new(view.now, view.spec, key, e));
        Self(available.collect())
    }

    /// Brings one engine up to what was placed there.
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

    /// The engine for a short prompt: the fullest one that keeps what is needed.
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
            let is_good = keeps_pauses && (is_on_time || requirement != ShortRequirement::OnTime);
            let is_usable = is_good || requirement == ShortRequirement::Nothing;
            if !is_usable || candidate.free_tokens < memory {
                continue;
            }
            let engine = &engines[candidate.key];
            if request.exclude.contains(&engine.name) || request.must_avoid(now, engine) {
                continue;
            }
            let rank = Rank {
                is_good,
                packed: if options.pack_short {
                    engine.count_with_pause(request.pause)
                } else {
                    0
                },
                same_domain: engine.domain == request.domain,
                soon: -first_event_ms,
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

/// Order of engines for a short prompt.
#[derive(Clone, Copy, Debug)]
struct Rank {
    is_good: bool,
    /// Streams of the same kind that write there.
    packed: usize,
    same_domain: bool,
    soon: f64,
}

impl Rank {
    fn is_better_than(&self, other: &Self) -> bool {
        if self.is_good != other.is_good {
            return self.is_good;
        }
        if !self.is_good {
            return self.soon > other.soon;
        }
        let by = (self.packed, self.same_domain).cmp(&(other.packed, other.same_domain));
        by.then(self.soon.total_cmp(&other.soon)).is_gt()
    }
}
