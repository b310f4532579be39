//! A pool of engines: one queue, late binding, one ledger of streams.

mod ledger;
mod load;
mod placement;
mod rate_limits;
mod refusals;
mod slowness;

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::deployment::{EngineSpec, TargetStart};
use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

pub use self::load::PoolLoad;
use self::slowness::QuestionBudget;
use super::ask::{AskId, PassAsk, PassDecision, PassOutcome};
use super::backlog::Backlog;
use super::engine::{Engine, EngineId};
use super::options::PassOptions;
use super::queue::{Order, Queue, Waiting};
use super::short_load::ShortLoad;
use crate::fair_clock::FairClock;

/// Shortest time between two rounds of placement while asks wait; a pass takes ten times that.
const MIN_ROUND: Duration = Duration::from_millis(4);

/// Longest time between two rounds while asks wait, in case an estimate is far off.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// Engines of a running stream.
#[derive(Debug)]
struct Run {
    lead: EngineId,
    helpers: Vec<EngineId>,
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
    engines: SlotMap<EngineId, Engine>,
    names: HashMap<HostName, EngineId>,
    queue: Queue,
    backlog: Backlog,
    short_load: ShortLoad,
    /// Since when a crowd of short prompts has waited; `None` where none does.
    crowd_since: Option<Instant>,
    /// Turns of the client accounts among short and among long prompts.
    fair: [FairClock; 2],
    runs: HashMap<AskId, Run>,
    decisions: Vec<(AskId, PassDecision)>,
    /// When all waiting asks are looked at again.
    next_refusals: Instant,
    /// When all running streams are looked at again for overdue first events.
    next_look: Instant,
    questions: QuestionBudget,
    /// Whether this node places for all; only then may it use engines that limit their rate.
    is_placing: bool,
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
            backlog: Backlog::default(),
            short_load: ShortLoad::default(),
            crowd_since: None,
            fair: Default::default(),
            runs: HashMap::new(),
            decisions: Vec::new(),
            next_refusals: Instant::now(),
            next_look: Instant::now(),
            questions: QuestionBudget::new(Instant::now()),
            is_placing: true,
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
    pub fn enqueue(&mut self, now: Instant, ask: PassAsk) {
        if self.queue.contains(ask.id) || self.runs.contains_key(&ask.id) {
            return;
        }
        let read_ms = self.spec.prefill_ms(ask.prompt_tokens);
        let before = self.queue.len();
        let hopeless = self.hopeless(now, &ask, read_ms, self.ahead_ms(read_ms), before);
        let refused = hopeless
            .or_else(|| self.is_flooding(now, &ask))
            .or_else(|| self.is_crowded(now, &ask, read_ms));
        if let Some(retry_after) = refused {
            let refused = PassDecision::Refused { retry_after };
            self.decisions.push((ask.id, refused));
            return;
        }
        if !self.is_short(read_ms) {
            self.backlog.on_arrival(now, read_ms);
        }
        let order = self.order_of(&ask, read_ms);
        let clock = &mut self.fair[usize::from(!self.is_short(read_ms))];
        let turn = clock.tag(&ask.account, read_ms / 1000.0, 1.0);
        self.queue.push(Waiting {
            ask,
            read_ms,
            order,
            turn,
            asked_at: now,
        });
    }

    /// The place that an ask would get in the queue now.
    fn order_of(&self, ask: &PassAsk, read_ms: f64) -> Order {
        let is_long = !self.is_short(read_ms);
        let key = if is_long && self.options.shortest_first {
            read_ms
        } else if self.options.fair_shares {
            self.fair[usize::from(is_long)].next_turn(&ask.account)
        } else {
            0.0
        };
        Order::new(is_long, key)
    }

    /// Withdraws an ask or ends its stream.
    pub fn end(&mut self, now: Instant, id: AskId, outcome: &PassOutcome) {
        self.queue.remove(id);
        match outcome {
            PassOutcome::TargetRefused(name) | PassOutcome::TargetFailed(name) => {
                self.note_failure(now, name);
            }
            PassOutcome::TargetBacksOff { target, time } => {
                if let Some(key) = self.names.get(target) {
                    self.engines[*key].breaker.on_back_off(now, *time);
                }
            }
            PassOutcome::Done => {
                let lead = self.runs.get(&id).map(|run| run.lead);
                if let Some(engine) = lead.and_then(|key| self.engines.get_mut(key)) {
                    engine.breaker.on_success();
                    engine.on_whole_answer(now, id);
                }
            }
            PassOutcome::Cancelled => {}
        }
        self.release(id);
    }

    /// Notes the first event of a stream: all parts of its prompt are read.
    pub fn on_first_event(&mut self, now: Instant, id: AskId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.overdue_at = None;
        if let Some(engine) = self.engines.get_mut(run.lead) {
            engine.end_adopted_read(now, id);
            engine.advance(now, &self.spec);
            if let Some(lead) = engine.leads.iter_mut().find(|l| l.id == id) {
                lead.is_writing = true;
            }
        }
        for key in &run.helpers {
            let Some(engine) = self.engines.get_mut(*key) else {
                continue;
            };
            engine.end_adopted_read(now, id);
            for help in engine.helps.iter_mut().filter(|h| h.id == id) {
                help.is_read = true;
            }
            engine.helps.retain(|h| !h.is_read || h.memory_tokens > 0);
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
        self.refuse_overdue(now);
        self.place_short(now, true);
        self.place_long(now, true);
        self.place_short(now, false);
        self.place_long(now, false);
        self.note_crowd(now);
    }

    /// Decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<(AskId, PassDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// When [`Self::dispatch`] has to be called if nothing happens before.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let ends = self.engines.values().map(|e| e.pass_ends);
        let next = ends.filter(|at| *at > now).min();
        let at = next.unwrap_or(now + MAX_ROUND);
        Some(at.clamp(now + MIN_ROUND, now + MAX_ROUND))
    }

    /// Number of waiting asks.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of running streams.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn is_short(&self, read_ms: f64) -> bool {
        read_ms <= self.options.short_read_ms
    }
}
