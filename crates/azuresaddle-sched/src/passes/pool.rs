//! A pool of engines: one queue, late binding, one ledger of streams.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;
use azuresaddle_core::prelude::*;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::ask::{AskId, PassAsk, PassDecision, PassGrant, PassOutcome, RunningStream};
use super::backlog::Backlog;
use super::engine::{Engine, EngineId, Help, Lead};
use super::long_plan::{LongPlan, MAX_MEMBERS, helper_names, plan_long};
use super::options::PassOptions;
use super::queue::{Queue, Waiting};
use super::round::Round;
use super::short_plan::plan_short;

/// Shortest time between two rounds of placement while asks wait; a pass takes ten times that.
const MIN_ROUND: Duration = Duration::from_millis(4);

/// Longest time between two rounds while asks wait, in case an estimate is far off.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// Part of the time left that a long prompt has waited before others may be made late for it.
const BREAK_AFTER: f64 = 0.15;

/// Most prompt tokens of streams made late, as a part of the long prompt's own tokens: the worth of
/// an answer is not stated, so the work that its caller asks for stands for it.
const BROKEN_SHARE: f64 = 0.2;

/// Shortest time to come back that is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time to come back that is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Engines of a running stream.
#[derive(Debug)]
struct Run {
    lead: EngineId,
    helpers: Vec<EngineId>,
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
    runs: HashMap<AskId, Run>,
    decisions: Vec<(AskId, PassDecision)>,
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
            runs: HashMap::new(),
            decisions: Vec::new(),
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
        let read_ms = self.spec.read_ms(ask.prompt_tokens);
        if let Some(retry_after) = self.hopeless(now, &ask, read_ms) {
            let refused = PassDecision::Refused { retry_after };
            self.decisions.push((ask.id, refused));
            return;
        }
        if !self.is_short(read_ms) {
            self.backlog.on_arrival(now, read_ms);
        }
        let order = if self.options.shortest_first {
            read_ms
        } else {
            0.0
        };
        let order = if self.is_short(read_ms) {
            0.0
        } else {
            1.0 + order
        };
        self.queue.push(Waiting {
            ask,
            read_ms,
            order,
            asked_at: now,
        });
    }

    /// Withdraws an ask or ends its stream.
    pub fn end(&mut self, now: Instant, id: AskId, outcome: &PassOutcome) {
        self.queue.remove(id);
        match outcome {
            PassOutcome::TargetRefused(name) | PassOutcome::TargetFailed(name) => {
                self.note_failure(now, name);
            }
            PassOutcome::Done => {
                let lead = self.runs.get(&id).map(|run| run.lead);
                if let Some(engine) = lead.and_then(|key| self.engines.get_mut(key)) {
                    engine.breaker.on_success();
                }
            }
            PassOutcome::Cancelled => {}
        }
        self.release(id);
    }

    fn note_failure(&mut self, now: Instant, name: &HostName) {
        if let Some(key) = self.names.get(name) {
            self.engines[*key].breaker.on_failure(now);
        }
    }

    fn release(&mut self, id: AskId) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        for key in std::iter::once(run.lead).chain(run.helpers) {
            if let Some(engine) = self.engines.get_mut(key) {
                engine.leads.retain(|l| l.id != id);
                engine.helps.retain(|h| h.id != id);
            }
        }
    }

    /// Notes the first event of a stream: all parts of its prompt are read.
    pub fn on_first_event(&mut self, now: Instant, id: AskId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(run.lead) {
            engine.advance(now, &self.spec);
            if let Some(lead) = engine.leads.iter_mut().find(|l| l.id == id) {
                lead.is_writing = true;
            }
        }
        for key in &run.helpers {
            let Some(engine) = self.engines.get_mut(*key) else {
                continue;
            };
            for help in engine.helps.iter_mut().filter(|h| h.id == id) {
                help.is_read = true;
            }
            engine.helps.retain(|h| !h.is_read || h.memory_tokens > 0);
        }
    }

    /// Replaces what is known of one node's streams by what it says itself; a stream that it does
    /// not name is given up unless `may_run` says that the node can't have known of it.
    pub fn sync_node(
        &mut self,
        now: Instant,
        node: u64,
        streams: &[RunningStream],
        may_run: impl Fn(AskId) -> bool,
    ) {
        let told: HashSet<AskId> = streams.iter().map(|s| s.id).collect();
        let gone: Vec<AskId> = self
            .runs
            .keys()
            .filter(|id| id.node == node && !told.contains(id) && !may_run(**id))
            .copied()
            .collect();
        for id in gone {
            self.release(id);
        }
        for stream in streams {
            if !self.runs.contains_key(&stream.id) {
                self.adopt(stream);
            }
            if stream.is_writing {
                self.on_first_event(now, stream.id);
            }
        }
    }

    fn adopt(&mut self, stream: &RunningStream) {
        self.queue.remove(stream.id);
        let Some(lead) = self.names.get(&stream.lead).copied() else {
            return;
        };
        let helpers: Vec<EngineId> = stream
            .helpers
            .iter()
            .filter_map(|name| self.names.get(name).copied())
            .collect();
        let parts = Parts {
            id: stream.id,
            prompt_tokens: stream.prompt_tokens,
            answer_tokens: stream.answer_tokens,
            pause: stream.pause,
            helper_memory_tokens: stream.helper_memory_tokens,
        };
        self.hold(&parts, lead, helpers);
    }

    /// Forgets everything of nodes that `keep` does not name.
    pub fn retain_nodes(&mut self, keep: impl Fn(u64) -> bool) {
        self.queue.retain_nodes(&keep);
        let gone: Vec<AskId> = self
            .runs
            .keys()
            .filter(|id| !keep(id.node))
            .copied()
            .collect();
        for id in gone {
            self.release(id);
        }
    }

    /// Places all asks that can be placed now, and refuses what can't be served any more.
    pub fn dispatch(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.advance(now, &self.spec);
        }
        self.refuse_overdue(now);
        self.place_short(now, false);
        self.place_long(now, true);
        self.place_short(now, true);
        self.place_long(now, false);
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

    fn round(&self, now: Instant) -> Round<'_> {
        Round {
            now,
            spec: &self.spec,
            engines: &self.engines,
            options: &self.options,
        }
    }

    fn is_short(&self, read_ms: f64) -> bool {
        read_ms <= self.options.short_read_ms
    }

    fn place_short(&mut self, now: Instant, any: bool) {
        let due: Vec<AskId> = self
            .queue
            .iter()
            .take_while(|w| self.is_short(w.read_ms))
            // A late one may go anywhere; one that is still on time waits for a better place.
            .filter(|w| !any || w.ask.first_event_by <= now)
            .map(|w| w.ask.id)
            .collect();
        for id in due {
            let Some(waiting) = self.queue.remove(id) else {
                continue;
            };
            let ask = &waiting.ask;
            let plan = plan_short(&self.round(now), ask, waiting.read_ms, any);
            let Some(plan) = plan else {
                self.queue.push(waiting);
                continue;
            };
            let plan = LongPlan {
                engines: vec![plan.engine],
                part_ms: waiting.read_ms,
                start_ms: 0.0,
                first_event_ms: plan.first_event_ms,
                helper_memory_tokens: 0,
                broken_tokens: 0,
                lead_writes_alone: false,
            };
            self.start(now, waiting, &plan);
        }
    }

    /// Places long prompts; first those that can still be on time, then the others.
    fn place_long(&mut self, now: Instant, on_time: bool) {
        let open = self.open_engines(now);
        loop {
            let round = self.round(now);
            let found = self
                .queue
                .iter()
                .filter(|w| !self.is_short(w.read_ms))
                .filter(|w| on_time == (w.ask.first_event_by > now))
                .find_map(|w| {
                    let plan = self.plan_for(&round, w, open)?;
                    Some((w.ask.id, plan))
                });
            let Some((id, plan)) = found else {
                return;
            };
            let Some(waiting) = self.queue.remove(id) else {
                return;
            };
            self.start(now, waiting, &plan);
        }
    }

    /// A plan for a long prompt that is worth to begin now.
    fn plan_for(&self, round: &Round<'_>, waiting: &Waiting, open: usize) -> Option<LongPlan> {
        let Waiting { ask, read_ms, .. } = waiting;
        let now = round.now;
        let plan = plan_long(round, ask, *read_ms, 0);
        let is_due = |p: &LongPlan| !self.options.wait_for_engines || p.is_due(now, ask, open);
        let plan = plan.filter(is_due);
        if plan.as_ref().is_some_and(|p| p.is_on_time(now, ask)) || !self.options.break_pauses {
            return plan;
        }
        let waited = now.saturating_duration_since(waiting.asked_at);
        let left = ask.first_event_by.saturating_duration_since(now);
        if left.is_zero() || waited < left.mul_f64(BREAK_AFTER) {
            return plan;
        }
        let broken = (ask.prompt_tokens as f64 * BROKEN_SHARE) as u64;
        let lenient = plan_long(round, ask, *read_ms, broken);
        lenient
            .filter(|p| p.is_on_time(now, ask) && is_due(p))
            .or(plan)
    }

    fn start(&mut self, now: Instant, waiting: Waiting, plan: &LongPlan) {
        let ask = waiting.ask;
        let grant = PassGrant {
            lead: self.engines[plan.engines[0]].name.clone(),
            helpers: helper_names(&self.engines, plan),
            helper_memory_tokens: plan.helper_memory_tokens,
            first_event_in: Duration::from_secs_f64(plan.first_event_ms / 1000.0),
        };
        let parts = Parts {
            id: ask.id,
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            pause: ask.pause,
            helper_memory_tokens: plan.helper_memory_tokens,
        };
        for key in &plan.engines {
            let engine = &mut self.engines[*key];
            engine.on_pass_planned(engine.next_pass_ms(&self.spec, plan.part_ms));
        }
        self.hold(&parts, plan.engines[0], plan.engines[1..].to_vec());
        let first_event = now + grant.first_event_in;
        if let Some(lead) = self.engines[plan.engines[0]].leads.last_mut() {
            lead.is_late = first_event > ask.first_event_by;
        }
        for key in &plan.engines {
            self.engines[*key].add_read(now, &self.spec, plan.part_ms);
        }
        self.decisions.push((ask.id, PassDecision::Granted(grant)));
    }

    /// Notes a stream in the ledger.
    fn hold(&mut self, parts: &Parts, lead: EngineId, helpers: Vec<EngineId>) {
        let memory = parts.prompt_tokens + parts.answer_tokens;
        let lent = parts.helper_memory_tokens * helpers.len() as u64;
        let at_lead = memory.saturating_sub(lent);
        self.engines[lead].leads.push(Lead {
            id: parts.id,
            memory_tokens: at_lead,
            context_tokens: at_lead,
            prompt_tokens: parts.prompt_tokens,
            pause: parts.pause,
            is_writing: false,
            is_late: false,
        });
        for key in &helpers {
            self.engines[*key].helps.push(Help {
                id: parts.id,
                memory_tokens: parts.helper_memory_tokens,
                is_read: false,
            });
        }
        self.runs.insert(parts.id, Run { lead, helpers });
    }

    /// When to come back, where the request can't be served in its time.
    fn hopeless(&self, now: Instant, ask: &PassAsk, read_ms: f64) -> Option<Duration> {
        let open = self.open_engines(now);
        if open == 0 {
            return Some(MIN_RETRY_AFTER);
        }
        // The engines' interface lets a prompt lie on so many engines at most.
        let members = self.engines.len().min(MAX_MEMBERS) as u64;
        let memory = ask.prompt_tokens + ask.answer_tokens;
        if memory > members * self.spec.memory_tokens {
            return Some(MAX_RETRY_AFTER);
        }
        let wait = self.expected_wait(now, read_ms, open);
        let least = self.least_time(read_ms, open);
        let comes_at = now + wait + least;
        if comes_at <= ask.give_up_at && comes_at + ask.writing_time() <= ask.deadline {
            return None;
        }
        Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn open_engines(&self, now: Instant) -> usize {
        self.engines.values().filter(|e| e.is_open(now)).count()
    }

    /// Time to read a prompt with all engines that may take part.
    fn least_time(&self, read_ms: f64, open: usize) -> Duration {
        let split = if self.is_short(read_ms) {
            1
        } else {
            open.clamp(1, MAX_MEMBERS)
        };
        Duration::from_secs_f64(read_ms / split as f64 / 1000.0)
    }

    /// Expected time until a long prompt begins, from what waits before it and the load of late;
    /// short ones are not expected to wait.
    fn expected_wait(&self, now: Instant, read_ms: f64, open: usize) -> Duration {
        if self.is_short(read_ms) || !self.options.refuse_early {
            return Duration::ZERO;
        }
        let long = self.queue.iter().filter(|w| !self.is_short(w.read_ms));
        let quicker = long.take_while(|w| w.read_ms < read_ms);
        let ahead_ms: f64 = quicker.map(|w| w.read_ms).sum();
        let share = self.backlog.free_share(now, read_ms, open);
        let wait_ms = (ahead_ms + read_ms) / (open as f64 * share) - read_ms / open as f64;
        Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0)
    }

    /// Refuses every ask that can't be answered in its time any more.
    fn refuse_overdue(&mut self, now: Instant) {
        let overdue: Vec<(AskId, Duration)> = self
            .queue
            .iter()
            .filter_map(|w| {
                let retry_after = self.hopeless(now, &w.ask, w.read_ms)?;
                Some((w.ask.id, retry_after))
            })
            .collect();
        for (id, retry_after) in overdue {
            self.queue.remove(id);
            self.decisions
                .push((id, PassDecision::Refused { retry_after }));
        }
    }
}

/// What the ledger needs to know of a stream.
struct Parts {
    id: AskId,
    prompt_tokens: u64,
    answer_tokens: u64,
    pause: Duration,
    helper_memory_tokens: u64,
}
