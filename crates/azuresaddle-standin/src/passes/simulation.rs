//! Event-driven simulation of one day.

mod crashes;
mod engines;
mod outcome;
mod placer;
mod rate_limits;
mod takeover;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    DEFAULT_PRIORITY, PlacementDecision, PlacementGrant, PlacementId, PlacementRequest,
    StreamOutcome,
};
use azuresaddle_sched::quarantine::Quarantine;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use self::placer::Placer;
use super::baseline::choose_engines;
use super::engine::EngineModel;
use super::policy::PassPolicy;
use super::scoring::{DayResults, RequestOutcome, SimulatedDay, score_day};
use super::workload::{RequestKind, Workload, WorkloadRequest, generate_requests};

/// Time from a placement decision until the engine has the request, in milliseconds.
const ENGINE_DELAY_MS: f64 = 3.0;

/// Time from an event until the owner of the pool learns of it, in milliseconds.
const OWNER_DELAY_MS: f64 = 4.0;

/// Round-trip time between caller and node, in milliseconds.
const CALLER_ROUND_TRIP_MS: f64 = 8.0;

/// Node that sends all placement requests.
const NODE_ID: u64 = 1;

/// A scheduled event. Events of the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    EnginesReached(usize),
    PassEnd(usize),
    FirstEventReported(usize),
    EndReported(usize),
    OwnerChange,
    /// A placer receives an engine's reply to a pace probe; engine and placer.
    PaceReported(usize, usize),
    /// All nodes learn the loads of the pools.
    PublishLoads,
    /// The first placer stalls.
    Stall,
    /// A pool with two owners has one again.
    SplitBrainEnd,
    /// An engine crashes, and its streams fail.
    Crash(usize),
    /// A stream whose engine crashed or declined it asks for another placement.
    Retry(usize),
    /// A new engine replaces a crashed one.
    EngineReplaced(usize),
    /// Rate limits of engines begin or end.
    RateLimitChange,
    /// A placer's timer expires.
    Wakeup(usize),
}

/// State of a request during the day.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// The placement request, until the owner knows that the stream has ended.
    placement: Option<PlacementRequest>,
    /// The placer that received the placement request.
    placer: usize,
    /// The grant, and when the first event is expected.
    grant: Option<(PlacementGrant, Instant)>,
    engines: Vec<usize>,
    parts_left: usize,
    first_at: Option<f64>,
    last_event_at: f64,
    longest_pause_ms: f64,
    ended_at: Option<f64>,
    refused_at: Option<f64>,
    /// Number of engines that crashed while they ran it.
    crash_count: u32,
    /// Number of events that the caller has received.
    events: u64,
}

/// Simulates one day of a workload with one policy.
pub fn simulate_day(workload: &Workload, policy: PassPolicy, seed: u64) -> DayResults {
    let requests = generate_requests(workload, seed);
    let mut simulation = Simulation::new(workload, policy, &requests, seed);
    simulation.run();
    let outcomes: Vec<RequestOutcome> =
        (0..requests.len()).map(|i| simulation.outcome(i)).collect();
    let firsts: Vec<Option<f64>> = simulation
        .streams
        .iter()
        .zip(&requests)
        .map(|(s, r)| s.first_at.map(|at| at - r.at_ms + CALLER_ROUND_TRIP_MS))
        .collect();
    let held: Vec<f64> = (0..requests.len())
        .map(|i| simulation.holding_loss(i))
        .collect();
    let refused: Vec<bool> = simulation
        .streams
        .iter()
        .map(|s| s.refused_at.is_some())
        .collect();
    let day = SimulatedDay {
        requests: &requests,
        outcomes: &outcomes,
        first_event_ms: &firsts,
        held: &held,
        refused: &refused,
        limit_use: simulation.limit_use(),
    };
    score_day(workload, &day, policy.name(), seed)
}

struct Simulation<'a> {
    workload: &'a Workload,
    policy: PassPolicy,
    requests: &'a [WorkloadRequest],
    streams: Vec<Stream>,
    engines: Vec<EngineModel>,
    /// Whether each engine has crashed.
    crashed: Vec<bool>,
    /// Times at which each engine received a request or a prompt part, in milliseconds.
    received_at_ms: Vec<Vec<f64>>,
    quarantine: Quarantine,
    names: Vec<HostName>,
    placers: Vec<Placer>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    origin: Instant,
    rng: StdRng,
}

impl<'a> Simulation<'a> {
    fn new(
        workload: &'a Workload,
        policy: PassPolicy,
        requests: &'a [WorkloadRequest],
        seed: u64,
    ) -> Self {
        let origin = Instant::now();
        let engines = workload.faults.engines_left(workload.engines);
        let names: Vec<HostName> = (0..engines)
            .map(|i| HostName::new(format!("engine-{i:02}")))
            .collect();
        let engine = |i| EngineModel::new(workload.spec.clone(), workload.faults.pace(i));
        let mut simulation = Self {
            workload,
            policy,
            requests,
            streams: vec![Stream::default(); requests.len()],
            engines: (0..engines).map(engine).collect(),
            crashed: vec![false; engines],
            received_at_ms: vec![Vec::new(); engines],
            quarantine: Quarantine::default(),
            names,
            placers: Vec::new(),
            events: BinaryHeap::new(),
            origin,
            rng: StdRng::seed_from_u64(seed),
        };
        simulation.add_placers(origin);
        for (i, request) in requests.iter().enumerate() {
            simulation.push(request.at_ms, Event::Arrival(i));
        }
        if let Some(term_s) = workload.faults.owner_change_interval_s {
            let terms = (workload.length_s / term_s) as usize;
            for term in 1..=terms {
                simulation.push(term as f64 * term_s * 1000.0, Event::OwnerChange);
            }
        }
        if let Some(stall) = workload.faults.owner_stalls {
            for n in 1..=(workload.length_s / stall.interval_s) as usize {
                simulation.push(n as f64 * stall.interval_s * 1000.0, Event::Stall);
            }
        }
        if let Some(split) = workload.faults.split_brain {
            simulation.push(split.span.to_s * 1000.0, Event::SplitBrainEnd);
        }
        if let Some(limited) = workload.faults.rate_limited {
            simulation.push(limited.span.from_s * 1000.0, Event::RateLimitChange);
            simulation.push(limited.span.to_s * 1000.0, Event::RateLimitChange);
        }
        simulation
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
                Event::EnginesReached(i) => self.on_engines_reached(at_ms, i),
                Event::PassEnd(engine) => self.end_pass(at_ms, engine),
                Event::FirstEventReported(i) => {
                    let now = self.instant(at_ms);
                    if let Some(placer) = self.placer_of(i) {
                        placer.pool.on_first_event(now, placement_id(i));
                    }
                }
                Event::EndReported(i) => {
                    let now = self.instant(at_ms);
                    if let Some(placer) = self.placer_of(i) {
                        placer.pool.end(now, placement_id(i), &StreamOutcome::Done);
                    }
                    self.streams[i].placement = None;
                }
                Event::PaceReported(engine, placer) => {
                    let now = self.instant(at_ms);
                    let pace = self.workload.faults.pace(engine);
                    let placer = &mut self.placers[placer];
                    placer.pool.on_pace(now, &self.names[engine], pace);
                }
                Event::PublishLoads => self.publish_loads(at_ms),
                Event::Stall => self.stall(at_ms),
                Event::SplitBrainEnd => self.end_split_brain(at_ms),
                Event::OwnerChange => self.change_owner(at_ms),
                Event::Crash(engine) => self.crash(at_ms, engine),
                Event::Retry(i) => self.retry(at_ms, i),
                Event::EngineReplaced(engine) => self.replace_engine(at_ms, engine),
                Event::RateLimitChange => self.change_rate_limits(at_ms),
                Event::Wakeup(placer) => self.placers[placer].wakeup_at = None,
            }
            self.dispatch(at_ms);
        }
    }

    fn arrive(&mut self, at_ms: f64, i: usize) {
        let request = &self.requests[i];
        let kind = &self.workload.kinds[request.kind];
        let now = self.instant(at_ms);
        if self.placers.is_empty() {
            let memory = request.prompt_tokens + request.answer_tokens;
            let members = memory.div_ceil(self.workload.spec.memory_tokens) as usize;
            self.streams[i].engines =
                choose_engines(self.policy, &self.engines, members, &mut self.rng);
            self.push(at_ms + ENGINE_DELAY_MS, Event::EnginesReached(i));
            return;
        }
        if self.is_quarantined(at_ms, i) {
            self.streams[i].refused_at = Some(at_ms);
            return;
        }
        let suspect = self.suspect(at_ms, i);
        let after = |ms: f64| now + Duration::from_secs_f64(ms / 1000.0);
        let placement = PlacementRequest {
            id: placement_id(i),
            account: ClientAccount::new(format!("account-{}", request.account)),
            domain: FailureDomain::new("d1"),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.estimated_answer_tokens,
            first_event_by: after(kind.first_event_ms - 12.0),
            pause: Duration::from_secs_f64(kind.pause_ms / 1000.0),
            give_up_at: after(give_up_ms(kind)),
            deadline: after(kind.deadline_ms),
            exclude: Vec::new(),
            suspect,
            priority: DEFAULT_PRIORITY,
        };
        let placer = self.route(at_ms, i);
        self.streams[i].placer = placer;
        self.streams[i].placement = Some(placement.clone());
        self.placers[placer].pool.enqueue(now, placement);
    }

    /// The placer that accounts for a stream, or `None` for a baseline.
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
        let probes = pool.take_pace_probes(now);
        let wake = pool.next_wakeup(now);
        for name in probes {
            if let Some(engine) = self.names.iter().position(|n| *n == name) {
                let known_at = at_ms + ENGINE_DELAY_MS + OWNER_DELAY_MS;
                self.push(known_at, Event::PaceReported(engine, index));
            }
        }
        for (id, decision) in decisions {
            let i = id.number as usize;
            match decision {
                PlacementDecision::Granted(_) if self.is_quarantined(at_ms, i) => {
                    let now = self.instant(at_ms);
                    self.streams[i].placement = None;
                    let pool = &mut self.placers[index].pool;
                    pool.end(now, id, &StreamOutcome::Cancelled);
                }
                PlacementDecision::Granted(grant) => self.start(at_ms, i, &grant),
                PlacementDecision::Refused { .. } => {
                    self.streams[i].refused_at = Some(at_ms);
                    self.streams[i].placement = None;
                }
            }
        }
        if let Some(at) = wake {
            let at_us = at.duration_since(self.origin).as_micros() as u64;
            let placer = &mut self.placers[index];
            if placer.wakeup_at.is_none_or(|known| at_us < known) {
                placer.wakeup_at = Some(at_us);
                self.events.push(Reverse((at_us, Event::Wakeup(index))));
            }
        }
    }

    fn start(&mut self, at_ms: f64, i: usize, grant: &PlacementGrant) {
        let index = |name: &HostName| self.names.iter().position(|n| n == name);
        let all = std::iter::once(&grant.lead).chain(&grant.helpers);
        self.streams[i].engines = all.filter_map(index).collect();
        let first_event_at = self.instant(at_ms) + grant.first_event_in;
        self.streams[i].grant = Some((grant.clone(), first_event_at));
        self.push(at_ms + ENGINE_DELAY_MS, Event::EnginesReached(i));
    }
}

/// Time after which a caller gives up if it has received no event, in milliseconds.
fn give_up_ms(kind: &RequestKind) -> f64 {
    2000f64
        .max(4.0 * kind.first_event_ms)
        .max(8.0 * kind.pause_ms)
}

fn placement_id(i: usize) -> PlacementId {
    PlacementId {
        node: NODE_ID,
        number: i as u64,
    }
}
