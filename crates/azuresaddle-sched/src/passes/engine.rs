//! What is believed of one engine.

use std::time::Duration;

use azuresaddle_core::deployment::{EngineSpec, TargetStart};
use azuresaddle_core::prelude::*;
use slotmap::new_key_type;
use tokio::time::Instant;

use super::ask::AskId;
use super::pace::Pace;
use crate::breaker::Breaker;
use crate::quarantine::SURVIVAL_TIME;
use crate::rate_bucket::RateBucket;

new_key_type! {
    /// Key of an engine in its pool.
    pub(super) struct EngineId;
}

/// Part of the longest pause that a pass may take; the rest covers the way to the caller and the
/// error of the estimate.
const PAUSE_SHARE: f64 = 0.72;

/// Longest pauses that a pass may take although its streams are late: nodes take a target that is
/// silent for nearly twice as long for dead.
const MAX_SILENT_PAUSES: f64 = 3.5;

/// Time kept of each pause for the node and the network, in milliseconds.
const PAUSE_MARGIN_MS: f64 = 12.0;

/// A stream whose answer an engine writes, or will.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lead {
    pub(super) id: AskId,
    /// Memory that it may come to hold here, in tokens.
    pub(super) memory_tokens: u64,
    /// Context that each of its steps costs, in tokens.
    pub(super) context_tokens: u64,
    /// Length of its whole prompt, in tokens; stands for what the answer is worth.
    pub(super) prompt_tokens: u64,
    pub(super) pause: Duration,
    pub(super) is_writing: bool,
    /// Whether it shares no engine with another such.
    pub(super) keeps_apart: bool,
    /// Whether the answer is late already, so that a longer pause takes nothing more from it.
    pub(super) is_late: bool,
}

impl Lead {
    /// Whether a pass of that time makes the answer late.
    fn is_broken_by(&self, pass_ms: f64) -> bool {
        !self.is_late && longest_pass_ms(self.pause) < pass_ms
    }
}

/// A part of a prompt that an engine reads for another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Help {
    pub(super) id: AskId,
    /// Memory held here for the stream, in tokens.
    pub(super) memory_tokens: u64,
    /// Whether the first event has come, so that only the memory is still used.
    pub(super) is_read: bool,
}

/// One engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: HostName,
    pub(super) domain: FailureDomain,
    /// The start that all of this is about.
    pub(super) started: TargetStart,
    pub(super) leads: Vec<Lead>,
    pub(super) helps: Vec<Help>,
    /// When the pass that is believed to run ends; in the past where none runs.
    pub(super) pass_ends: Instant,
    /// When the last pass that reads is believed to end.
    pub(super) reads_until: Instant,
    /// Reading that waits for the next pass, in milliseconds.
    pub(super) next_read_ms: f64,
    /// A read that was begun for an earlier owner, and when it is expected to end.
    adopted_read: Option<(AskId, Instant)>,
    pub(super) pace: Pace,
    pub(super) leaving: bool,
    pub(super) breaker: Breaker,
    /// Until when a suspect that keeps apart from others may not come here, although none runs.
    apart_until: Instant,
    /// Its rate limit; `None` if it has none.
    pub(super) rate: Option<RateBucket>,
}

impl Engine {
    pub(super) fn new(now: Instant, name: HostName, domain: FailureDomain) -> Self {
        Self {
            name,
            domain,
            started: TargetStart::default(),
            leads: Vec::new(),
            helps: Vec::new(),
            pass_ends: now,
            reads_until: now,
            next_read_ms: 0.0,
            adopted_read: None,
            pace: Pace::default(),
            leaving: false,
            breaker: Breaker::default(),
            apart_until: now,
            rate: None,
        }
    }

    /// Whether new work may go here.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.is_sound(now) && self.rate.is_none_or(|rate| rate.has_token(now))
    }

    /// Whether new work may go here, apart from the rate limit.
    pub(super) fn is_sound(&self, now: Instant) -> bool {
        !self.leaving
            && self
                .breaker
                .allows(now, self.leads.len() + self.helps.len())
    }

    /// Counts a stream, or a part of one, against the engine's own limit.
    pub(super) fn take_token(&mut self, now: Instant) {
        if let Some(rate) = &mut self.rate {
            rate.take(now);
        }
    }

    /// Memory that is not promised, in tokens.
    pub(super) fn free_tokens(&self, spec: &EngineSpec) -> u64 {
        let led: u64 = self.leads.iter().map(|l| l.memory_tokens).sum();
        let lent: u64 = self.helps.iter().map(|h| h.memory_tokens).sum();
        spec.memory_tokens.saturating_sub(led + lent)
    }

    pub(super) fn has_slot(&self, spec: &EngineSpec) -> bool {
        self.leads.len() < spec.slots as usize
    }

    /// Whether one more part may be read here for another engine.
    pub(super) fn can_help(&self, spec: &EngineSpec) -> bool {
        let reading = self.helps.iter().filter(|h| !h.is_read).count();
        reading < spec.slots as usize
    }

    /// Time of a pass's token steps once all present streams write, in milliseconds.
    pub(super) fn write_ms(&self, spec: &EngineSpec) -> f64 {
        let context = self.leads.iter().map(|l| l.context_tokens).sum();
        spec.decode_ms(self.leads.len(), context) * self.pace.factor()
    }

    /// Longest pass that keeps the pauses of all streams here, in milliseconds.
    pub(super) fn longest_pass_ms(&self) -> f64 {
        let on_time = self.leads.iter().filter(|l| !l.is_late);
        let pauses = on_time.map(|l| l.pause);
        pauses.min().map_or(f64::INFINITY, longest_pass_ms)
    }

    /// Longest pass that lets no stream here fall silent for long, late ones among them, in
    /// milliseconds.
    pub(super) fn silent_pass_ms(&self) -> f64 {
        let pauses = self.leads.iter().map(|l| l.pause);
        pauses.min().map_or(f64::INFINITY, |pause| {
            pause.as_secs_f64() * 1000.0 * MAX_SILENT_PAUSES
        })
    }

    /// Prompt tokens of the streams here that a pass of that time makes late.
    pub(super) fn broken_tokens(&self, pass_ms: f64) -> u64 {
        let broken = self.leads.iter().filter(|l| l.is_broken_by(pass_ms));
        broken.map(|l| l.prompt_tokens).sum()
    }

    /// Notes that a pass of that time comes.
    pub(super) fn on_pass_planned(&mut self, pass_ms: f64) {
        for lead in &mut self.leads {
            lead.is_late |= lead.is_broken_by(pass_ms);
        }
    }

    /// Streams here whose pause is at most `pause`.
    pub(super) fn count_with_pause(&self, pause: Duration) -> usize {
        self.leads.iter().filter(|l| l.pause <= pause).count()
    }

    /// Whether a suspect that keeps apart from others may not come here.
    pub(super) fn is_kept_apart(&self, now: Instant) -> bool {
        now < self.apart_until || self.leads.iter().any(|l| l.keeps_apart)
    }

    /// Notes a whole answer. Whether the engine survives it is known a moment later; another suspect that ends the engine
    /// within that moment would be taken for this one.
    pub(super) fn on_whole_answer(&mut self, now: Instant, id: AskId) {
        let lead = self.leads.iter().find(|l| l.id == id);
        if lead.is_some_and(|l| l.keeps_apart) {
            self.apart_until = now + SURVIVAL_TIME;
        }
    }

    /// Brings the estimate of passes up to `now`.
    pub(super) fn advance(&mut self, now: Instant, spec: &EngineSpec) {
        while self.pass_ends <= now {
            let writers = self.leads.iter().filter(|l| l.is_writing);
            let (count, context) = writers.fold((0, 0), |(n, c), l| (n + 1, c + l.context_tokens));
            let idle = count == 0;
            if idle && self.next_read_ms == 0.0 {
                return;
            }
            let ms = spec.decode_ms(count, context) * self.pace.factor() + self.next_read_ms;
            let reads = self.next_read_ms > 0.0;
            self.next_read_ms = 0.0;
            let start = if idle { now } else { self.pass_ends };
            let length = Duration::from_secs_f64(ms.max(1.0) / 1000.0);
            // A stretch that was not followed is made up by whole passes.
            self.pass_ends = start + length;
            if reads {
                self.reads_until = self.pass_ends;
            }
            if self.pass_ends <= now && self.next_read_ms == 0.0 {
                let behind = now.duration_since(start).as_secs_f64();
                let passes = (behind / length.as_secs_f64()).floor();
                self.pass_ends = start + length.mul_f64(passes + 1.0);
            }
        }
    }

    /// Whether a part that is sent now may come to be read in one pass with another.
    ///
    /// All parts that wait when a pass begins are read in it, and none is done before its end. When exactly an engine
    /// begins is not known here, so a longer part that follows within a tenth of a second delays a short one by its
    /// whole read.
    pub(super) fn is_reading(&self, now: Instant) -> bool {
        self.next_read_ms > 0.0 || self.reads_until > now
    }

    /// Notes a read that was begun for an earlier owner.
    ///
    /// Engines that seemed idle got parts of every prompt for as long as the read went on: after a
    /// change of owner the short streams of two seconds were late.
    pub(super) fn adopt_read(&mut self, id: AskId, ends: Instant) {
        if ends <= self.reads_until {
            return;
        }
        self.pass_ends = self.pass_ends.max(ends);
        self.reads_until = ends;
        self.adopted_read = Some((id, ends));
    }

    /// Notes that a read for an earlier owner is over, where it was still expected to go on.
    pub(super) fn end_adopted_read(&mut self, now: Instant, id: AskId) {
        let Some((adopted, ends)) = self.adopted_read else {
            return;
        };
        if adopted != id {
            return;
        }
        self.adopted_read = None;
        if self.reads_until == ends && ends > now {
            self.reads_until = now;
            self.pass_ends = now;
        }
    }

    /// Time until the next pass begins.
    pub(super) fn next_pass_in(&self, now: Instant) -> Duration {
        self.pass_ends.saturating_duration_since(now)
    }

    /// Takes a part of a prompt for the next pass.
    pub(super) fn add_read(&mut self, now: Instant, spec: &EngineSpec, read_ms: f64) {
        self.next_read_ms += read_ms * self.pace.factor();
        self.advance(now, spec);
    }

    /// Time of the next pass with `read_ms` more to read and all present streams writing, in
    /// milliseconds.
    pub(super) fn next_pass_ms(&self, spec: &EngineSpec, read_ms: f64) -> f64 {
        self.write_ms(spec) + self.next_read_ms + read_ms * self.pace.factor()
    }

    /// Reading that the next pass can still take without making a stream late, in milliseconds.
    pub(super) fn room_ms(&self, spec: &EngineSpec) -> f64 {
        let longest = self.longest_pass_ms().min(self.silent_pass_ms());
        (longest - self.write_ms(spec) - self.next_read_ms) / self.pace.factor()
    }

    /// Reading that the next pass can still take without silencing a stream, in milliseconds.
    pub(super) fn silent_room_ms(&self, spec: &EngineSpec) -> f64 {
        (self.silent_pass_ms() - self.write_ms(spec) - self.next_read_ms) / self.pace.factor()
    }
}

/// Longest pass that keeps a pause, in milliseconds.
pub(super) fn longest_pass_ms(pause: Duration) -> f64 {
    pause.as_secs_f64() * 1000.0 * PAUSE_SHARE - PAUSE_MARGIN_MS
}
