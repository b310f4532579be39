//! Placement of prompts that are read in a fraction of a pass.
//!
//! Answers the pattern of many short prompts beside few long ones: short streams are packed on as
//! few engines as keep their pauses, so that the others stay free to read long prompts without a
//! pass that somebody waits for.

use super::ask::PassAsk;
use super::engine::EngineId;
use super::round::Round;

/// Part of the time to the first event that the wait for a pass and the read may take; the rest
/// covers the node, the network and the error of the estimate.
const FIRST_EVENT_SHARE: f64 = 0.62;

/// An engine for a short prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShortPlan {
    pub(super) engine: EngineId,
    /// Milliseconds to the first event.
    pub(super) first_event_ms: f64,
}

/// What an engine for a short prompt must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShortNeed {
    /// Every pause, and the prompt's own first event on time.
    OnTime,
    /// Every pause; the prompt is late already.
    Pauses,
    /// Nothing: the prompt's caller is about to give up.
    Nothing,
}

/// The engine for a short prompt: the fullest one that keeps what is needed.
pub(super) fn plan_short(
    round: &Round<'_>,
    ask: &PassAsk,
    read_ms: f64,
    need: ShortNeed,
) -> Option<ShortPlan> {
    let Round {
        now,
        spec,
        engines,
        options,
    } = *round;
    let memory = ask.prompt_tokens + ask.answer_tokens;
    let left_ms = ask
        .first_event_by
        .saturating_duration_since(now)
        .as_secs_f64()
        * 1000.0;
    let mut best: Option<(Rank, ShortPlan)> = None;
    for (key, engine) in engines {
        let fits = engine.is_open(now)
            && engine.has_slot(spec)
            && engine.free_tokens(spec) >= memory
            && !ask.exclude.contains(&engine.name);
        if !fits {
            continue;
        }
        let wait_ms = engine.next_pass_in(now).as_secs_f64() * 1000.0;
        let first_event_ms = wait_ms + engine.next_pass_ms(spec, read_ms);
        let is_on_time = first_event_ms <= left_ms * FIRST_EVENT_SHARE;
        let keeps_pauses = !options.check_pauses || engine.room_ms(spec) >= read_ms;
        let is_good = keeps_pauses && (is_on_time || need != ShortNeed::OnTime);
        if need != ShortNeed::Nothing && !is_good {
            continue;
        }
        let rank = Rank {
            is_good,
            packed: if options.pack_short {
                engine.count_with_pause(ask.pause)
            } else {
                0
            },
            same_domain: engine.domain == ask.domain,
            soon: -first_event_ms,
        };
        let plan = ShortPlan {
            engine: key,
            first_event_ms,
        };
        if best.as_ref().is_none_or(|(b, _)| rank.is_better_than(b)) {
            best = Some((rank, plan));
        }
    }
    best.map(|(_, plan)| plan)
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
