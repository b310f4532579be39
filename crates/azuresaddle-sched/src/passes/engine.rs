//! Estimated state of one engine.

use std::time::Duration;

use azuresaddle_core::bounded_time::{saturating_millis, scaled};
use azuresaddle_core::deployment::{EngineSpec, TargetStart};
use azuresaddle_core::prelude::*;
use slotmap::new_key_type;
use tokio::time::Instant;

use super::pace::Pace;
use super::request::PlacementId;
use crate::breaker::Breaker;
use crate::quarantine::SURVIVAL_TIME;
use crate::rate_bucket::RateBucket;

new_key_type! {
    /// Key of an engine in its pool.
    pub(super) struct EngineKey;
}

/// Fraction of the longest pause that a pass may take. The rest covers the path to the caller and
/// errors of the estimate.
const PAUSE_SHARE: f64 = 0.72;

/// Longest pass, in pauses, for streams that are late already. Nodes give up on a target after a
/// silence of nearly twice that.
const MAX_STALL_PAUSES: f64 = 3.5;

/// Part of each pause that is reserved for the node and the network, in milliseconds.
const PAUSE_MARGIN_MS: f64 = 12.0;

/// A stream whose answer an engine decodes or will decode.
#[derive(Clone, Copy, Debug)]
pub(super) struct LedStream {
    pub(super) id: PlacementId,
    /// Maximum memory that it will hold here, in tokens.
    pub(super) memory_tokens: u64,
    /// Context length that each of its decode steps processes, in tokens.
    pub(super) context_tokens: u64,
    /// Length of its whole prompt, in tokens; stands in for the value of the answer.
    pub(super) prompt_tokens: u64,
    pub(super) pause: Duration,
    pub(super) is_decoding: bool,
    /// Whether it must not share an engine with another such suspect.
    pub(super) needs_isolation: bool,
    /// Whether the answer is late already, so that a longer pause does no further harm.
    pub(super) is_late: bool,
}

impl LedStream {
    /// Whether a pass of that duration makes the answer late.
    fn is_delayed_by(&self, pass_ms: f64) -> bool {
        !self.is_late && max_pass_ms(self.pause) < pass_ms
    }
}

/// A prompt part that an engine prefills for another engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct HelperPart {
    pub(super) id: PlacementId,
    /// Memory held here for the stream, in tokens.
    pub(super) memory_tokens: u64,
    /// Whether the first event has arrived, after which only the memory is still in use.
    pub(super) is_prefilled: bool,
}

/// Estimated state of an engine: its streams, passes, speed and limits.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: HostName,
    pub(super) domain: FailureDomain,
    /// Start of the engine process to which this state belongs.
    pub(super) started: TargetStart,
    pub(super) led_streams: Vec<LedStream>,
    pub(super) helper_parts: Vec<HelperPart>,
    /// Estimated end of the current pass; in the past if none runs.
    pub(super) pass_ends_at: Instant,
    /// Estimated end of the last pass that includes prefill.
    pub(super) prefill_until: Instant,
    /// Prefill queued for the next pass, in milliseconds.
    pub(super) queued_prefill_ms: f64,
    /// A prefill started under an earlier owner, and its expected end.
    inherited_prefill: Option<(PlacementId, Instant)>,
    pub(super) pace: Pace,
    pub(super) leaving: bool,
    pub(super) breaker: Breaker,
    /// Until when suspects that need isolation are kept away although none runs here.
    isolated_until: Instant,
    /// Its rate limit; `None` if it has none.
    pub(super) rate_bucket: Option<RateBucket>,
}

impl Engine {
    pub(super) fn new(now: Instant, name: HostName, domain: FailureDomain) -> Self {
        Self {
            name,
            domain,
            started: TargetStart::default(),
            led_streams: Vec::new(),
            helper_parts: Vec::new(),
            pass_ends_at: now,
            prefill_until: now,
            queued_prefill_ms: 0.0,
            inherited_prefill: None,
            pace: Pace::default(),
            leaving: false,
            breaker: Breaker::default(),
            isolated_until: now,
            rate_bucket: None,
        }
    }

    /// Whether the engine accepts new work.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        self.accepts_work_ignoring_rate_limit(now)
            && self.rate_bucket.is_none_or(|rate| rate.has_token(now))
    }

    /// Whether the engine accepts new work, leaving its rate limit aside.
    pub(super) fn accepts_work_ignoring_rate_limit(&self, now: Instant) -> bool {
        !self.leaving
            && self
                .breaker
                .allows(now, self.led_streams.len() + self.helper_parts.len())
    }

    /// Counts a stream, or a part of one, against the engine's rate limit.
    pub(super) fn take_rate_token(&mut self, now: Instant) {
        if let Some(rate) = &mut self.rate_bucket {
            rate.take(now);
        }
    }

    /// Memory that is not reserved, in tokens.
    pub(super) fn free_tokens(&self, spec: &EngineSpec) -> u64 {
        let led: u64 = self.led_streams.iter().map(|l| l.memory_tokens).sum();
        let lent: u64 = self.helper_parts.iter().map(|h| h.memory_tokens).sum();
        spec.memory_tokens.saturating_sub(led + lent)
    }

    pub(super) fn has_slot(&self, spec: &EngineSpec) -> bool {
        self.led_streams.len() < spec.slots as usize
    }

    /// Whether one more part may be prefilled here for another engine.
    pub(super) fn can_help(&self, spec: &EngineSpec) -> bool {
        let prefilling = self.helper_parts.iter().filter(|h| !h.is_prefilled).count();
        prefilling < spec.slots as usize
    }

    /// Duration of the decode steps of a pass once all present streams decode, in milliseconds.
    pub(super) fn decode_ms(&self, spec: &EngineSpec) -> f64 {
        let context = self.led_streams.iter().map(|l| l.context_tokens).sum();
        spec.decode_ms(self.led_streams.len(), context) * self.pace.factor()
    }

    /// Longest pass that makes no stream here late, in milliseconds.
    pub(super) fn max_pass_ms(&self) -> f64 {
        let on_time = self.led_streams.iter().filter(|l| !l.is_late);
        let pauses = on_time.map(|l| l.pause);
        pauses.min().map_or(f64::INFINITY, max_pass_ms)
    }

    /// Longest pass that stalls no stream here, late ones included, in milliseconds.
    pub(super) fn max_pass_ms_before_stall(&self) -> f64 {
        let pauses = self.led_streams.iter().map(|l| l.pause);
        pauses.min().map_or(f64::INFINITY, |pause| {
            pause.as_secs_f64() * 1000.0 * MAX_STALL_PAUSES
        })
    }

    /// Prompt tokens of the streams here that a pass of that duration makes late.
    pub(super) fn delayed_tokens(&self, pass_ms: f64) -> u64 {
        let delayed = self.led_streams.iter().filter(|l| l.is_delayed_by(pass_ms));
        delayed.map(|l| l.prompt_tokens).sum()
    }

    /// Marks the streams that a coming pass of that duration makes late.
    pub(super) fn on_pass_planned(&mut self, pass_ms: f64) {
        for stream in &mut self.led_streams {
            stream.is_late |= stream.is_delayed_by(pass_ms);
        }
    }

    /// Number of streams here whose longest pause is at most `pause`.
    pub(super) fn count_with_pause(&self, pause: Duration) -> usize {
        self.led_streams.iter().filter(|l| l.pause <= pause).count()
    }

    /// Whether another suspect that needs isolation must not be placed here.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        now < self.isolated_until || self.led_streams.iter().any(|l| l.needs_isolation)
    }

    /// Records a complete answer.
    ///
    /// Whether the engine survives the request is known only a moment later. If another suspect
    /// crashed the engine within that moment, the crash would be blamed on this request too.
    pub(super) fn on_complete_answer(&mut self, now: Instant, id: PlacementId) {
        let stream = self.led_streams.iter().find(|l| l.id == id);
        if stream.is_some_and(|l| l.needs_isolation) {
            self.isolated_until = now + SURVIVAL_TIME;
        }
    }

    /// Advances the estimated passes to `now`.
    pub(super) fn advance(&mut self, now: Instant, spec: &EngineSpec) {
        while self.pass_ends_at <= now {
            let decoding = self.led_streams.iter().filter(|l| l.is_decoding);
            let (count, context) = decoding.fold((0, 0), |(n, c), l| (n + 1, c + l.context_tokens));
            let is_idle = count == 0;
            if is_idle && self.queued_prefill_ms == 0.0 {
                return;
            }
            let ms = spec.decode_ms(count, context) * self.pace.factor() + self.queued_prefill_ms;
            let has_prefill = self.queued_prefill_ms > 0.0;
            self.queued_prefill_ms = 0.0;
            let start = if is_idle { now } else { self.pass_ends_at };
            let length = saturating_millis(ms.max(1.0));
            // Time that was not tracked is filled with whole passes.
            self.pass_ends_at = start + length;
            if has_prefill {
                self.prefill_until = self.pass_ends_at;
            }
            if self.pass_ends_at <= now && self.queued_prefill_ms == 0.0 {
                let behind = now.duration_since(start).as_secs_f64();
                let passes = (behind / length.as_secs_f64()).floor();
                self.pass_ends_at = start + scaled(length, passes + 1.0);
            }
        }
    }

    /// Whether a part that is sent now could share a pass with another part.
    ///
    /// All parts that wait when a pass begins are prefilled in it, and none completes before its
    /// end. The exact start of a pass is not known here, so a longer part that follows within a
    /// tenth of a second delays a short one by its whole prefill.
    pub(super) fn is_prefilling(&self, now: Instant) -> bool {
        self.queued_prefill_ms > 0.0 || self.prefill_until > now
    }

    /// Records a prefill that was started under an earlier owner.
    ///
    /// Without this, engines that seemed idle received parts of every prompt while the prefill went
    /// on: after a change of owner, short streams were late for two seconds.
    pub(super) fn inherit_prefill(&mut self, id: PlacementId, ends: Instant) {
        if ends <= self.prefill_until {
            return;
        }
        self.pass_ends_at = self.pass_ends_at.max(ends);
        self.prefill_until = ends;
        self.inherited_prefill = Some((id, ends));
    }

    /// Ends a prefill of an earlier owner that was still expected to continue.
    pub(super) fn end_inherited_prefill(&mut self, now: Instant, id: PlacementId) {
        let Some((inherited, ends)) = self.inherited_prefill else {
            return;
        };
        if inherited != id {
            return;
        }
        self.inherited_prefill = None;
        if self.prefill_until == ends && ends > now {
            self.prefill_until = now;
            self.pass_ends_at = now;
        }
    }

    /// Time until the next pass begins.
    pub(super) fn next_pass_in(&self, now: Instant) -> Duration {
        self.pass_ends_at.saturating_duration_since(now)
    }

    /// Queues a prompt part for the next pass.
    pub(super) fn add_prefill(&mut self, now: Instant, spec: &EngineSpec, prefill_ms: f64) {
        self.queued_prefill_ms += prefill_ms * self.pace.factor();
        self.advance(now, spec);
    }

    /// Duration of the next pass with `prefill_ms` of additional prefill and all present streams
    /// decoding, in milliseconds.
    pub(super) fn next_pass_ms(&self, spec: &EngineSpec, prefill_ms: f64) -> f64 {
        self.decode_ms(spec) + self.queued_prefill_ms + prefill_ms * self.pace.factor()
    }

    /// Additional prefill that the next pass can take without making a stream late, in
    /// milliseconds.
    pub(super) fn headroom_ms(&self, spec: &EngineSpec) -> f64 {
        let longest = self.max_pass_ms().min(self.max_pass_ms_before_stall());
        (longest - self.decode_ms(spec) - self.queued_prefill_ms) / self.pace.factor()
    }

    /// Additional prefill that the next pass can take without stalling a stream, in milliseconds.
    pub(super) fn stall_headroom_ms(&self, spec: &EngineSpec) -> f64 {
        (self.max_pass_ms_before_stall() - self.decode_ms(spec) - self.queued_prefill_ms)
            / self.pace.factor()
    }
}

/// Longest pass that keeps a pause, in milliseconds.
pub(super) fn max_pass_ms(pause: Duration) -> f64 {
    pause.as_secs_f64() * 1000.0 * PAUSE_SHARE - PAUSE_MARGIN_MS
}
