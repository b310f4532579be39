//! A pool of engines with one queue; requests are bound to engines only when they can start.

mod arrivals;
mod demand;
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

use self::arrivals::ArrivalVerdict;
pub use self::load::PoolLoad;
use self::pace_probes::ProbeBudget;
use super::admission::{RefusalCounts, RetrySchedule, StartRate};
use super::demand_phase::DemandPhase;
use super::engine::{Engine, EngineKey};
use super::forecast::{DemandForecast, Sort};
use super::long_load::LongLoad;
use super::options::PassOptions;
use super::queue::{Queue, QueuePosition, Waiting};
use super::request::{
    DEFAULT_PRIORITY, PlacementDecision, PlacementId, PlacementRequest, StreamOutcome,
};
use super::short_load::ShortLoad;
use crate::fair_clock::FairClock;

/// Minimum time between two dispatches while requests wait; a pass takes ten times that.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(4);

/// Maximum time between two dispatches while requests wait, in case an estimate is far off.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A running stream and the engines it was placed on.
#[derive(Debug)]
struct PlacedStream {
    lead: EngineKey,
    helpers: Vec<EngineKey>,
    /// Time at which the first event counts as overdue; `None` once it has arrived or was found
    /// overdue.
    overdue_at: Option<Instant>,
    /// Fingerprint of the request, if a target had crashed while it ran.
    suspect: Option<Fingerprint>,
}

/// Places streams on the engines of one service.
#[derive(Debug)]
pub struct PassPool {
    options: PassOptions,
    spec: EngineSpec,
    engines: SlotMap<EngineKey, Engine>,
    keys_by_name: HashMap<HostName, EngineKey>,
    queue: Queue,
    long_load: LongLoad,
    short_load: ShortLoad,
    forecast: DemandForecast,
    phase: DemandPhase,
    /// Since when at least `MIN_CROWD` short prompts have waited; `None` if fewer wait.
    crowd_since: Option<Instant>,
    short_starts: StartRate,
    retry_schedule: RetrySchedule,
    /// Refusals since they were last taken.
    refusals: RefusalCounts,
    /// Fair queueing of the client accounts, for short and for long prompts.
    fair_clocks: [FairClock; 2],
    placed_streams: HashMap<PlacementId, PlacedStream>,
    decisions: Vec<(PlacementId, PlacementDecision)>,
    /// Next check of all waiting requests for refusal.
    next_refusal_check: Instant,
    /// Next check of all running streams for overdue first events.
    next_overdue_check: Instant,
    probes: ProbeBudget,
    /// Whether this node owns the pool. Only the owner may use engines with a rate limit.
    is_owner: bool,
}

impl PassPool {
    /// Creates an empty pool.
    pub fn new(options: PassOptions, spec: EngineSpec) -> Self {
        Self {
            options,
            spec,
            engines: SlotMap::with_key(),
            keys_by_name: HashMap::new(),
            queue: Queue::default(),
            long_load: LongLoad::default(),
            short_load: ShortLoad::default(),
            forecast: DemandForecast::default(),
            phase: DemandPhase::default(),
            crowd_since: None,
            short_starts: StartRate::default(),
            retry_schedule: RetrySchedule::default(),
            refusals: RefusalCounts::default(),
            fair_clocks: Default::default(),
            placed_streams: HashMap::new(),
            decisions: Vec::new(),
            next_refusal_check: Instant::now(),
            next_overdue_check: Instant::now(),
            probes: ProbeBudget::new(Instant::now()),
            is_owner: true,
        }
    }

    /// Replaces the engines' specification.
    pub fn set_spec(&mut self, spec: &EngineSpec) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
    }

    /// Adds an engine, or updates whether it is leaving.
    pub fn upsert_engine(
        &mut self,
        now: Instant,
        name: &HostName,
        domain: &FailureDomain,
        leaving: bool,
    ) {
        if let Some(key) = self.keys_by_name.get(name) {
            self.engines[*key].leaving = leaving;
            return;
        }
        let mut engine = Engine::new(now, name.clone(), domain.clone());
        engine.leaving = leaving;
        let key = self.engines.insert(engine);
        self.keys_by_name.insert(name.clone(), key);
    }

    /// Records the start of the engine process that a report comes from. Returns false if the
    /// engine is unknown or the report is from an earlier start than the known one, and must be
    /// ignored.
    ///
    /// A restarted engine holds none of its streams and memory, and the recorded speed and failures
    /// belong to the earlier process.
    pub fn record_start(&mut self, now: Instant, name: &HostName, started: TargetStart) -> bool {
        let Some(key) = self.keys_by_name.get(name).copied() else {
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
        // A new key makes later ends of streams of the earlier start refer to no engine.
        let key = self.engines.insert(engine);
        self.keys_by_name.insert(name.clone(), key);
        true
    }

    /// Removes the engines for which `keep` returns false.
    pub fn retain_engines(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.keys_by_name.retain(|name, key| {
            let kept = keep(name);
            if !kept {
                self.engines.remove(*key);
            }
            kept
        });
    }

    /// Queues a request or refuses it at once; the decision is returned by
    /// [`Self::take_decisions`]. Requests that are already queued are ignored. A request that is already placed is
    /// placed anew: its node has not received the decision, or it would not send it again.
    pub fn enqueue(&mut self, now: Instant, request: PlacementRequest) {
        if self.queue.contains(request.id) {
            return;
        }
        self.remove_stream(request.id);
        let prefill_ms = self.spec.prefill_ms(request.prompt_tokens);
        self.forecast
            .on_arrival(now, Sort::of_prefill(prefill_ms), prefill_ms);
        if let ArrivalVerdict::Refuse { retry_after } =
            self.arrival_verdict(now, &request, prefill_ms)
        {
            self.refusals.on_arrival += 1;
            let refused = PlacementDecision::Refused { retry_after };
            self.decisions.push((request.id, refused));
            return;
        }
        let is_long = !self.is_short(prefill_ms);
        if is_long {
            self.long_load.on_arrival(now, prefill_ms);
        }
        let position = self.position_of(&request, prefill_ms);
        let clock = &mut self.fair_clocks[usize::from(is_long)];
        let fair_tag = clock.tag(&request.account, prefill_ms / 1000.0, 1.0);
        if !is_long {
            self.short_starts.set_waiting(now, true);
        }
        self.queue.push(Waiting {
            request,
            prefill_ms,
            position,
            fair_tag,
            queued_at: now,
        });
    }

    /// Position that a request would get in the queue now.
    fn position_of(&self, request: &PlacementRequest, prefill_ms: f64) -> QueuePosition {
        let is_long = !self.is_short(prefill_ms);
        let key = if is_long && self.options.shortest_first {
            prefill_ms
        } else if self.options.fair_shares {
            self.fair_clocks[usize::from(is_long)].next_turn(&request.account)
        } else {
            0.0
        };
        let priority = if self.options.admission {
            request.priority
        } else {
            DEFAULT_PRIORITY
        };
        QueuePosition::new(is_long, priority, key)
    }

    /// Withdraws a request or ends its stream.
    pub fn end(&mut self, now: Instant, id: PlacementId, outcome: &StreamOutcome) {
        self.queue.remove(id);
        match outcome {
            StreamOutcome::TargetRefused(name) | StreamOutcome::TargetFailed(name) => {
                self.record_failure(now, name);
            }
            StreamOutcome::TargetBacksOff { target, time } => {
                if let Some(key) = self.keys_by_name.get(target) {
                    self.engines[*key].breaker.on_back_off(now, *time);
                }
            }
            StreamOutcome::Done => {
                let lead = self.placed_streams.get(&id).map(|stream| stream.lead);
                if let Some(engine) = lead.and_then(|key| self.engines.get_mut(key)) {
                    engine.breaker.on_success();
                    engine.on_complete_answer(now, id);
                }
            }
            StreamOutcome::Cancelled => {}
        }
        self.remove_stream(id);
    }

    /// Records the first event of a stream: all parts of its prompt are prefilled.
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
            for part in engine.helper_parts.iter_mut().filter(|h| h.id == id) {
                part.is_prefilled = true;
            }
            engine
                .helper_parts
                .retain(|h| !h.is_prefilled || h.memory_tokens > 0);
        }
    }

    /// Places all requests that can be placed now, and refuses those that can no longer be served
    /// in time.
    pub fn dispatch(&mut self, now: Instant) {
        self.forecast.advance(now);
        if self.queue.is_empty() {
            self.crowd_since = None;
            self.short_starts.set_waiting(now, false);
            for clock in &mut self.fair_clocks {
                clock.on_idle();
            }
            return;
        }
        for engine in self.engines.values_mut() {
            engine.advance(now, &self.spec);
        }
        self.update_phase(now);
        self.refuse_unservable(now);
        for priority in self.queue.priorities() {
            self.place_short(now, priority, true);
            self.place_long(now, priority, true);
            self.place_short(now, priority, false);
            self.place_long(now, priority, false);
        }
        self.update_crowd(now);
        let has_short = self.queue.has_short();
        self.short_starts.set_waiting(now, has_short);
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<(PlacementId, PlacementDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the numbers of refused requests since the last call.
    pub fn take_refusals(&mut self) -> RefusalCounts {
        std::mem::take(&mut self.refusals)
    }

    /// Latest time for the next call of [`Self::dispatch`]; `None` if no request waits.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let ends = self.engines.values().map(|e| e.pass_ends_at);
        let next = ends.filter(|at| *at > now).min();
        let at = next.unwrap_or(now + MAX_DISPATCH_INTERVAL);
        Some(at.clamp(now + MIN_DISPATCH_INTERVAL, now + MAX_DISPATCH_INTERVAL))
    }

    /// Number of waiting requests.
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
