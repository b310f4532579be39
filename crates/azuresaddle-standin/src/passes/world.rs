//! Plays one day.

mod crashes;
mod engines;
mod judge;
mod limits;
mod placer;
mod takeover;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    PlacementDecision, PlacementGrant, PlacementId, PlacementRequest, StreamOutcome,
};
use azuresaddle_sched::quarantine::Quarantine;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use self::placer::Placer;
use super::baseline::place;
use super::credit::{DayResults, End, PlayedDay, sum_up};
use super::engine::EngineModel;
use super::policy::PassPolicy;
use super::sheet::{KindOfRequest, Sheet, SheetRequest, draw_requests};

/// Time from a decision until the engine has the request, in milliseconds.
const TO_ENGINE_MS: f64 = 3.0;

/// Time from an event until the owner of the pool knows of it, in milliseconds.
const TO_OWNER_MS: f64 = 4.0;

/// Time between the caller and the node, there and back, in milliseconds.
const CALLER_MS: f64 = 8.0;

/// The node that asks.
const NODE: u64 = 1;

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtEngines(usize),
    PassEnd(usize),
    FirstEventKnown(usize),
    EndKnown(usize),
    OwnerChange,
    /// An engine's answer about its pace, to a placer.
    PaceKnown(usize, usize),
    /// The nodes learn of the pools' loads.
    Publish,
    /// A placer stops deciding for a while.
    Stall,
    /// Two owners of a pool become one again.
    SplitEnds,
    /// The streams of an engine that ended break off.
    Crash(usize),
    /// A stream whose engine ended wants another one.
    AskAgain(usize),
    /// Another engine starts in the stead of one that ended.
    EngineBack(usize),
    /// Engines begin or cease to limit their rate.
    Limits,
    /// A placer's own timer.
    Wake(usize),
}

/// A request in the day.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// What was asked, until the end is known.
    ask: Option<PlacementRequest>,
    /// The placer that was asked.
    placer: usize,
    /// Where it runs, and when its first event is expected.
    grant: Option<(PlacementGrant, Instant)>,
    engines: Vec<usize>,
    parts_left: usize,
    first_at: Option<f64>,
    last_event_at: f64,
    longest_pause_ms: f64,
    ended_at: Option<f64>,
    refused_at: Option<f64>,
    /// Engines that ended under it.
    runs: u32,
    /// Events that its caller has.
    events: u64,
}

/// Plays one day with one policy.
pub fn play_day(sheet: &Sheet, policy: PassPolicy, seed: u64) -> DayResults {
    let requests = draw_requests(sheet, seed);
    let mut world = World::new(sheet, policy, &requests, seed);
    world.run();
    let ends: Vec<End> = (0..requests.len()).map(|i| world.end(i)).collect();
    let firsts: Vec<Option<f64>> = world
        .streams
        .iter()
        .zip(&requests)
        .map(|(s, r)| s.first_at.map(|at| at - r.at_ms + CALLER_MS))
        .collect();
    let held: Vec<f64> = (0..requests.len()).map(|i| world.held(i)).collect();
    let day = PlayedDay {
        requests: &requests,
        ends: &ends,
        first_ms: &firsts,
        held: &held,
        limit_use: world.limit_use(),
    };
    sum_up(sheet, &day, policy.name(), seed)
}

struct World<'a> {
    sheet: &'a Sheet,
    policy: PassPolicy,
    requests: &'a [SheetRequest],
    streams: Vec<Stream>,
    engines: Vec<EngineModel>,
    /// Engines that ended.
    ended: Vec<bool>,
    /// When each engine got a request or a part of one, in milliseconds.
    reached: Vec<Vec<f64>>,
    quarantine: Quarantine,
    names: Vec<HostName>,
    placers: Vec<Placer>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    origin: Instant,
    rng: StdRng,
}

impl<'a> World<'a> {
    fn new(sheet: &'a Sheet, policy: PassPolicy, requests: &'a [SheetRequest], seed: u64) -> Self {
        let origin = Instant::now();
        let engines = sheet.troubles.engines_left(sheet.engines);
        let names: Vec<HostName> = (0..engines)
            .map(|i| HostName::new(format!("engine-{i:02}")))
            .collect();
        let engine = |i| EngineModel::new(sheet.spec.clone(), sheet.troubles.pace(i));
        let mut world = Self {
            sheet,
            policy,
            requests,
            streams: vec![Stream::default(); requests.len()],
            engines: (0..engines).map(engine).collect(),
            ended: vec![false; engines],
            reached: vec![Vec::new(); engines],
            quarantine: Quarantine::default(),
            names,
            placers: Vec::new(),
            events: BinaryHeap::new(),
            origin,
            rng: StdRng::seed_from_u64(seed),
        };
        world.add_placers(origin);
        for (i, request) in requests.iter().enumerate() {
            world.push(request.at_ms, Event::Arrival(i));
        }
        if let Some(term_s) = sheet.troubles.owner_term_s {
            let terms = (sheet.length_s / term_s) as usize;
            for term in 1..=terms {
                world.push(term as f64 * term_s * 1000.0, Event::OwnerChange);
            }
        }
        if let Some(stall) = sheet.troubles.stall {
            for n in 1..=(sheet.length_s / stall.every_s) as usize {
                world.push(n as f64 * stall.every_s * 1000.0, Event::Stall);
            }
        }
        if let Some(split) = sheet.troubles.split_owner {
            world.push(split.span.to_s * 1000.0, Event::SplitEnds);
        }
        if let Some(limited) = sheet.troubles.limited {
            world.push(limited.span.from_s * 1000.0, Event::Limits);
            world.push(limited.span.to_s * 1000.0, Event::Limits);
        }
        world
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.events.push(Reverse(((at_ms * 1000.0) as u64, event)));
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at_ms / 1000.0)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, event))) = self.events.pop() {
            let at_ms = at_us as f64 / 1000.0;
            match event {
                Event::Arrival(i) => self.arrive(at_ms, i),
                Event::AtEngines(i) => self.reach_engines(at_ms, i),
                Event::PassEnd(engine) => self.end_pass(at_ms, engine),
                Event::FirstEventKnown(i) => {
                    let now = self.instant(at_ms);
                    if let Some(placer) = self.placer_of(i) {
                        placer.pool.on_first_event(now, ask_id(i));
                    }
                }
                Event::EndKnown(i) => {
                    let now = self.instant(at_ms);
                    if let Some(placer) = self.placer_of(i) {
                        placer.pool.end(now, ask_id(i), &StreamOutcome::Done);
                    }
                    self.streams[i].ask = None;
                }
                Event::PaceKnown(engine, placer) => {
                    let now = self.instant(at_ms);
                    let pace = self.sheet.troubles.pace(engine);
                    let placer = &mut self.placers[placer];
                    placer.pool.on_pace(now, &self.names[engine], pace);
                }
                Event::Publish => self.publish(at_ms),
                Event::Stall => self.stall(at_ms),
                Event::SplitEnds => self.end_split(at_ms),
                Event::OwnerChange => self.change_owner(at_ms),
                Event::Crash(engine) => self.crash(at_ms, engine),
                Event::AskAgain(i) => self.ask_again(at_ms, i),
                Event::EngineBack(engine) => self.engine_back(at_ms, engine),
                Event::Limits => self.change_limits(at_ms),
                Event::Wake(placer) => self.placers[placer].wake_at = None,
            }
            self.dispatch(at_ms);
        }
    }

    fn arrive(&mut self, at_ms: f64, i: usize) {
        let request = &self.requests[i];
        let kind = &self.sheet.kinds[request.kind];
        let now = self.instant(at_ms);
        if self.placers.is_empty() {
            let memory = request.prompt_tokens + request.answer_tokens;
            let members = memory.div_ceil(self.sheet.spec.memory_tokens) as usize;
            self.streams[i].engines = place(self.policy, &self.engines, members, &mut self.rng);
            self.push(at_ms + TO_ENGINE_MS, Event::AtEngines(i));
            return;
        }
        if self.is_quarantined(at_ms, i) {
            self.streams[i].refused_at = Some(at_ms);
            return;
        }
        let suspect = self.suspect(at_ms, i);
        let after = |ms: f64| now + Duration::from_secs_f64(ms / 1000.0);
        let ask = PlacementRequest {
            id: ask_id(i),
            account: ClientAccount::new(format!("account-{}", request.account)),
            domain: FailureDomain::new("d1"),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_estimate,
            first_event_by: after(kind.first_event_ms - 12.0),
            pause: Duration::from_secs_f64(kind.pause_ms / 1000.0),
            give_up_at: after(give_up_ms(kind)),
            deadline: after(kind.deadline_ms),
            exclude: Vec::new(),
            suspect,
        };
        let placer = self.route(at_ms, i);
        self.streams[i].placer = placer;
        self.streams[i].ask = Some(ask.clone());
        self.placers[placer].pool.enqueue(now, ask);
    }

    /// The placer that has a stream in its ledger; `None` for a baseline.
    fn placer_of(&mut self, i: usize) -> Option<&mut Placer> {
        let placer = self.streams[i].placer;
        self.placers.get_mut(placer)
    }

    fn dispatch(&mut self, at_ms: f64) {
        for index in 0..self.placers.len() {
            if at_ms >= self.placers[index].stalled_until_ms {
                self.dispatch_pool(at_ms, index);
            }
        }
    }

    fn dispatch_pool(&mut self, at_ms: f64, index: usize) {
        let now = self.instant(at_ms);
        let pool = &mut self.placers[index].pool;
        pool.dispatch(now);
        let decisions = pool.take_decisions();
        let questions = pool.take_pace_probes(now);
        let wake = pool.next_wakeup(now);
        for name in questions {
            if let Some(engine) = self.names.iter().position(|n| *n == name) {
                let known_at = at_ms + TO_ENGINE_MS + TO_OWNER_MS;
                self.push(known_at, Event::PaceKnown(engine, index));
            }
        }
        for (id, decision) in decisions {
            let i = id.number as usize;
            match decision {
                PlacementDecision::Granted(_) if self.is_quarantined(at_ms, i) => {
                    let now = self.instant(at_ms);
                    self.streams[i].ask = None;
                    let pool = &mut self.placers[index].pool;
                    pool.end(now, id, &StreamOutcome::Cancelled);
                }
                PlacementDecision::Granted(grant) => self.start(at_ms, i, &grant),
                PlacementDecision::Refused { .. } => {
                    self.streams[i].refused_at = Some(at_ms);
                    self.streams[i].ask = None;
                }
            }
        }
        if let Some(at) = wake {
            let at_us = at.duration_since(self.origin).as_micros() as u64;
            let placer = &mut self.placers[index];
            if placer.wake_at.is_none_or(|known| at_us < known) {
                placer.wake_at = Some(at_us);
                self.events.push(Reverse((at_us, Event::Wake(index))));
            }
        }
    }

    fn start(&mut self, at_ms: f64, i: usize, grant: &PlacementGrant) {
        let index = |name: &HostName| self.names.iter().position(|n| n == name);
        let all = std::iter::once(&grant.lead).chain(&grant.helpers);
        self.streams[i].engines = all.filter_map(index).collect();
        let first_event_at = self.instant(at_ms) + grant.first_event_in;
        self.streams[i].grant = Some((grant.clone(), first_event_at));
        self.push(at_ms + TO_ENGINE_MS, Event::AtEngines(i));
    }
}

/// Time after which a caller gives up if no event has come.
fn give_up_ms(kind: &KindOfRequest) -> f64 {
    2000f64
        .max(4.0 * kind.first_event_ms)
        .max(8.0 * kind.pause_ms)
}

fn ask_id(i: usize) -> PlacementId {
    PlacementId {
        node: NODE,
        number: i as u64,
    }
}
