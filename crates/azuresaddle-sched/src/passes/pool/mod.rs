//! A pool of engines: one queue, late binding, one ledger of streams.

mod load;
mod pace_probes;
mod placement;
mod rate_limits;
mod refusals;
mod streams;

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::deployment::{EngineSpec, TargetStart};
use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

pub use self::load::PoolLoad;
use self::pace_probes::ProbeBudget;
use super::engine::{Engine, EngineKey};
use super::long_load::LongLoad;
use super::options::PassOptions;
use super::queue::{Order, Queue, Waiting};
use super::request::{PlacementDecision, PlacementId, PlacementRequest, StreamOutcome};
use super::short_load::ShortLoad;
use crate::fair_clock::FairClock;

/// Shortest time between two rounds of placement while asks wait; a pass takes ten times that.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(4);

/// Longest time between two rounds while asks wait, in case an estimate is far off.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Engines of a running stream.
#[derive(Debug)]
struct PlacedStream {
    lead: EngineKey,
    helpers: Vec<EngineKey>,
    /// When the first event counts as overdue; `None` once it has come or was found overdue.
    overdue_at: Option<Instant>,
    /// The request, where a target had ended while it had it.
    suspect: Option<Fingerprint>,
}

/// Places streams on the engines of one service.
#[derive(Debug)]
pub struct PassPool {
    options: PassOptions,
    spec: EngineSpec,
    engines: SlotMap<EngineKey, Engine>,
    names: HashMap<HostName, EngineKey>,
    queue: Queue,
    long_load: LongLoad,
    short_load: ShortLoad,
    /// Since when a crowd of short prompts has waited; `None` where none does.
    crowd_since: Option<Instant>,
    /// Turns of the client accounts among short and among long prompts.
    fair: [FairClock; 2],
    placed_streams: HashMap<PlacementId, PlacedStream>,
    decisions: Vec<(PlacementId, PlacementDecision)>,
    /// When all waiting asks are looked at again.
    next_refusal_check: Instant,
    /// When all running streams are looked at again for overdue first events.
    next_overdue_check: Instant,
    probes: ProbeBudget,
    /// Whether this node places for all; only then may it use engines that limit their rate.
    is_owner: bool,
}

impl PassPool {
    /// An empty pool.
    pub fn new(options: PassOptions, spec: EngineSpec) -> Self {
        Self {
            options,
            spec,
            engines: SlotMap::with_key(),
            names: HashMap::new(),
            queue: Queue::default(),
            long_load: LongLoad::default(),
            short_load: ShortLoad::default(),
            crowd_since: None,
            fair: Default::default(),
            placed_streams: HashMap::new(),
            decisions: Vec::new(),
            next_refusal_check: Instant::now(),
            next_overdue_check: Instant::now(),
            probes: ProbeBudget::new(Instant::now()),
            is_owner: true,
        }
    }

    /// Takes new speeds and sizes.
    pub fn set_spec(&mut self, spec: &EngineSpec) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
    }

    /// Adds an engine, or notes whether it is leaving.
    pub fn upsert_engine(
        &mut self,
        now: Instant,
        name: &HostName,
        domain: &FailureDomain,
        leaving: bool,
    ) {
        if let Some(key) = self.names.get(name) {
            self.engines[*key].leaving = leaving;
            return;
        }
        let mut engine = Engine::new(now, name.clone(), domain.clone());
        engine.leaving = leaving;
        let key = self.engines.insert(engine);
        self.names.insert(name.clone(), key);
    }

    /// Notes which start of an engine says something of itself; false where it is an earlier one than
    /// is known, whose word is worth nothing any more.
    ///
    /// An engine that has started again holds none of its streams and none of its memory, and what was
    /// learned of its speed and its failures is about another process.
    pub fn note_start(&mut self, now: Instant, name: &HostName, started: TargetStart) -> bool {
        let Some(key) = self.names.get(name).copied() else {
            return false;
        };
        let known = &self.engines[key];
        if !started.is_known() || started == known.started {
            return true;
        }
        if started < known.started {
            return false;
        }
        if !known.started.is_known() {
            self.engines[key].started = started;
            return true;
        }
        let mut engine = Engine::new(now, known.name.clone(), known.domain.clone());
        engine.leaving = known.leaving;
        engine.started = started;
        self.engines.remove(key);
        // Under a new key, so that what ends later for the streams of the earlier start finds nothing.
        let key = self.engines.insert(engine);
        self.names.insert(name.clone(), key);
        true
    }

    /// Removes the engines that `keep` does not name.
    pub fn retain_engines(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.names.retain(|name, key| {
            let kept = keep(name);
            if !kept {
                self.engines.remove(*key);
            }
            kept
        });
    }

    /// Takes an ask; a decision about it follows. A repeated one is ignored.
    pub fn enqueue(&mut self, now: Instant, request: PlacementRequest) {
        if self.queue.contains(request.id) || self.placed_streams.contains_key(&request.id) {
            return;
        }
        let prefill_ms = self.spec.prefill_ms(request.prompt_tokens);
        let before = self.queue.len();
        let unservable = self.unservable_retry_after(
            now,
            &request,
            prefill_ms,
            self.prefill_ahead_ms(prefill_ms),
            before,
        );
        let refused = unservable
            .or_else(|| self.flood_retry_after(now, &request))
            .or_else(|| self.crowd_retry_after(now, &request, prefill_ms));
        if let Some(retry_after) = refused {
            let refused = PlacementDecision::Refused { retry_after };
            self.decisions.push((request.id, refused));
            return;
        }
        if !self.is_short(prefill_ms) {
            self.long_load.on_arrival(now, prefill_ms);
        }
        let order = self.order_of(&request, prefill_ms);
        let clock = &mut self.fair[usize::from(!self.is_short(prefill_ms))];
        let turn = clock.tag(&request.account, prefill_ms / 1000.0, 1.0);
        self.queue.push(Waiting {
            request,
            prefill_ms,
            order,
            turn,
            asked_at: now,
        });
    }

    /// The place that an ask would get in the queue now.
    fn order_of(&self, request: &PlacementRequest, prefill_ms: f64) -> Order {
        let is_long = !self.is_short(prefill_ms);
        let key = if is_long && self.options.shortest_first {
            prefill_ms
        } else if self.options.fair_shares {
            self.fair[usize::from(is_long)].next_turn(&request.account)
        } else {
            0.0
        };
        Order::new(is_long, key)
    }

    /// Withdraws an ask or ends its stream.
    pub fn end(&mut self, now: Instant, id: PlacementId, outcome: &StreamOutcome) {
        self.queue.remove(id);
        match outcome {
            StreamOutcome::TargetRefused(name) | StreamOutcome::TargetFailed(name) => {
                self.note_failure(now, name);
            }
            StreamOutcome::TargetBacksOff { target, time } => {
                if let Some(key) = self.names.get(target) {
                    self.engines[*key].breaker.on_back_off(now, *time);
                }
            }
            StreamOutcome::Done => {
                let lead = self.placed_streams.get(&id).map(|stream| stream.lead);
                if let Some(engine) = lead.and_then(|key| self.engines.get_mut(key)) {
                    engine.breaker.on_success();
                    engine.on_whole_answer(now, id);
                }
            }
            StreamOutcome::Cancelled => {}
        }
        self.remove_stream(id);
    }

    /// Notes the first event of a stream: all parts of its prompt are read.
    pub fn on_first_event(&mut self, now: Instant, id: PlacementId) {
        let Some(stream) = self.placed_streams.get_mut(&id) else {
            return;
        };
        stream.overdue_at = None;
        if let Some(engine) = self.engines.get_mut(stream.lead) {
            engine.end_inherited_prefill(now, id);
            engine.advance(now, &self.spec);
            if let Some(lead) = engine.led_streams.iter_mut().find(|l| l.id == id) {
                lead.is_decoding = true;
            }
        }
        for key in &stream.helpers {
            let Some(engine) = self.engines.get_mut(*key) else {
                continue;
            };
            engine.end_inherited_prefill(now, id);
            for help in engine.helper_parts.iter_mut().filter(|h| h.id == id) {
                help.is_prefilled = true;
            }
            engine
                .helper_parts
                .retain(|h| !h.is_prefilled || h.memory_tokens > 0);
        }
    }

    /// Places all asks that can be placed now, and refuses what can't be served any more.
    pub fn dispatch(&mut self, now: Instant) {
        if self.queue.is_empty() {
            self.crowd_since = None;
            for clock in &mut self.fair {
                clock.on_idle();
            }
            return;
        }
        for engine in self.engines.values_mut() {
            engine.advance(now, &self.spec);
        }
        self.refuse_unservable(now);
        self.place_short(now, true);
        self.place_long(now, true);
        self.place_short(now, false);
        self.place_long(now, false);
        self.update_crowd(now);
    }

    /// Decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<(PlacementId, PlacementDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// When [`Self::dispatch`] has to be called if nothing happens before.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let ends = self.engines.values().map(|e| e.pass_ends_at);
        let next = ends.filter(|at| *at > now).min();
        let at = next.unwrap_or(now + MAX_DISPATCH_INTERVAL);
        Some(at.clamp(now + MIN_DISPATCH_INTERVAL, now + MAX_DISPATCH_INTERVAL))
    }

    /// Number of waiting asks.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of running streams.
    pub fn running(&self) -> usize {
        self.placed_streams.len()
    }

    fn is_short(&self, prefill_ms: f64) -> bool {
        prefill_ms <= self.options.short_prefill_ms
    }
}
