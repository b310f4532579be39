//! Event-driven simulation of a policy against the modelled engines, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Outcome, ReservationRequest};
use tokio::time::Instant;

use super::arrivals::{MAX_ANSWER_TOKENS, Request};
use super::engine_model::{EngineJob, Engines, JobId};
use super::mix::{FaultKind, Mix};
use super::policy::Policy;
use super::results::Results;
use super::scheduler::{Scheduler, engine_name};

/// Time without a response after which a node gives up on a target.
const TARGET_TIMEOUT: Duration = Duration::from_secs(3);

/// First-token target of every request.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(350);

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u8 = 4;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// A job arrives at its engines.
    JobArrival(JobId),
    PrefillEnds(JobId),
    AnswerEnds(JobId),
    /// The owner learns of a first token.
    FirstTokenReported(JobId),
    /// The owner learns of the end of an answer.
    EndReported(JobId),
    /// A node gives up on a job whose engine does not respond.
    AttemptFailed(JobId),
    Deadline(usize),
    Fault(usize),
    Wakeup,
}

struct Simulation<'a> {
    mix: &'a Mix,
    requests: &'a [Request],
    scheduler: Scheduler,
    engines: Engines,
    jobs: Vec<EngineJob>,
    /// Stream of each job: its request and attempt.
    streams: Vec<StreamId>,
    live: HashMap<StreamId, JobId>,
    state: Vec<RequestState>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    start: Instant,
    wakeup: Option<Instant>,
    results: Results,
}

#[derive(Clone, Debug, Default)]
struct RequestState {
    attempt: u8,
    exclude: Vec<HostName>,
    has_first_token: bool,
    ended: bool,
    ran: u32,
}

/// Runs all requests to completion.
pub async fn simulate(mix: &Mix, requests: &[Request], policy: Policy, seed: u64) -> Results {
    let start = Instant::now();
    let mut simulation = Simulation {
        mix,
        requests,
        scheduler: Scheduler::new(start, policy, mix.engines, seed),
        engines: Engines::new(mix.engines),
        jobs: Vec::new(),
        streams: Vec::new(),
        live: HashMap::new(),
        state: vec![RequestState::default(); requests.len()],
        events: BinaryHeap::new(),
        sequence: 0,
        start,
        wakeup: None,
        results: Results::new(mix),
    };
    for (i, request) in requests.iter().enumerate() {
        simulation.push(start + request.at, Event::Arrive(i));
    }
    for (i, fault) in mix.faults.iter().enumerate() {
        simulation.push(start + Duration::from_secs_f64(fault.at_s), Event::Fault(i));
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        tokio::time::sleep_until(at).await;
        simulation.handle(at, event);
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.mix.message_delay_ms / 1000.0)
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(i) => {
                let deadline = now + Duration::from_secs_f64(self.mix.deadline_s);
                self.push(deadline, Event::Deadline(i));
                self.request_reservation(now, i);
            }
            Event::JobArrival(id) => self.on_job_arrival(now, id),
            Event::PrefillEnds(id) => self.on_prefill_ends(now, id),
            Event::AnswerEnds(id) => self.on_answer_ends(now, id),
            Event::FirstTokenReported(id) => self.scheduler.first_token(now, self.streams[id]),
            Event::EndReported(id) => {
                let tokens = self.jobs[id].answer_tokens as u32;
                let outcome = Outcome::Done { tokens };
                self.scheduler.end(now, self.streams[id], outcome);
            }
            Event::AttemptFailed(id) => self.on_attempt_failed(now, id),
            Event::Deadline(i) => self.on_deadline(now, i),
            Event::Fault(i) => self.on_fault(now, i),
            // A wakeup that has been replaced by an earlier one is stale.
            Event::Wakeup if self.wakeup != Some(now) => return,
            Event::Wakeup => self.wakeup = None,
        }
        self.apply_actions(now);
    }

    /// Requests a reservation for the current attempt of a request.
    fn request_reservation(&mut self, now: Instant, i: usize) {
        let request = &self.requests[i];
        let state = &self.state[i];
        let stream = StreamId {
            request: RequestId(i as u128),
            attempt: state.attempt,
        };
        let request = ReservationRequest {
            stream,
            node: HostName::new("n"),
            account: request.account_name.clone(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: MAX_ANSWER_TOKENS,
            prefix: Vec::new(),
            priority: 0,
            first_token_target: FIRST_TOKEN_TARGET,
            deadline: self.start + request.at + Duration::from_secs_f64(self.mix.deadline_s),
            weight: request.weight,
            limits: Default::default(),
            exclude: state.exclude.clone(),
        };
        self.scheduler.enqueue(now, request);
    }

    /// Applies the policy's decisions and schedules its next wakeup.
    fn apply_actions(&mut self, now: Instant) {
        for action in self.scheduler.dispatch(now) {
            match action {
                Action::Reserved(grant) => {
                    let request = grant.stream.request.0 as usize;
                    let engines = grant.targets.iter().map(engine_number).collect();
                    let id = self.jobs.len();
                    self.jobs.push(EngineJob {
                        engines,
                        memory_tokens: grant.memory_tokens,
                        prompt_tokens: self.requests[request].prompt_tokens,
                        answer_tokens: self.requests[request].answer_tokens,
                    });
                    self.streams.push(grant.stream);
                    self.live.insert(grant.stream, id);
                    // One message to the node, and one from there to the engine.
                    self.push(now + self.delay() * 2, Event::JobArrival(id));
                }
                Action::Refused { stream, .. } => {
                    let i = stream.request.0 as usize;
                    if !std::mem::replace(&mut self.state[i].ended, true) {
                        self.results.record_refused(&self.requests[i]);
                    }
                }
            }
        }
        if let Some(at) = self.scheduler.next_wakeup(now)
            && self.wakeup.is_none_or(|planned| at < planned)
        {
            self.wakeup = Some(at);
            self.push(at, Event::Wakeup);
        }
    }

    fn on_job_arrival(&mut self, now: Instant, id: JobId) {
        if self.live.get(&self.streams[id]) != Some(&id) {
            return;
        }
        let job = self.jobs[id].clone();
        if self.engines.accept(id, &job) {
            self.start_prefills(now, &job.engines);
        } else {
            // A dead host refuses connections at once.
            self.push(now + self.delay(), Event::AttemptFailed(id));
        }
    }

    fn start_prefills(&mut self, now: Instant, engines: &[usize]) {
        for engine in engines {
            while let Some((id, took)) = self.engines.start_next(*engine, &self.jobs) {
                let i = self.streams[id].request.0 as usize;
                self.state[i].ran += 1;
                self.push(now + took, Event::PrefillEnds(id));
            }
        }
    }

    fn on_prefill_ends(&mut self, now: Instant, id: JobId) {
        if !self.is_running(id) {
            return;
        }
        let i = self.streams[id].request.0 as usize;
        let rest = self.engines.end_prefill(id, &self.jobs[id]);
        self.push(now + rest, Event::AnswerEnds(id));
        self.push(now + self.delay() * 2, Event::FirstTokenReported(id));
        if !self.state[i].has_first_token && !self.state[i].ended {
            self.state[i].has_first_token = true;
            let took = now + self.delay() * 2 - self.start - self.requests[i].at;
            self.results.record_first_token(&self.requests[i], took);
        }
        let engines = self.jobs[id].engines.clone();
        self.start_prefills(now, &engines);
    }

    fn on_answer_ends(&mut self, now: Instant, id: JobId) {
        if !self.is_running(id) {
            return;
        }
        let i = self.streams[id].request.0 as usize;
        self.engines.remove(id, &self.jobs[id]);
        self.live.remove(&self.streams[id]);
        self.push(now + self.delay() * 2, Event::EndReported(id));
        if std::mem::replace(&mut self.state[i].ended, true) {
            self.results.doubled += 1;
        } else {
            self.results.record_whole(&self.requests[i]);
        }
        let engines = self.jobs[id].engines.clone();
        self.start_prefills(now, &engines);
    }

    /// Whether the stream of a job is present on all of its engines.
    fn is_running(&self, id: JobId) -> bool {
        let is_live = self.live.get(&self.streams[id]) == Some(&id);
        let job = &self.jobs[id];
        is_live
            && job
                .engines
                .iter()
                .all(|e| self.engines.states[*e].streams.contains(&id))
    }

    /// Retries a request on other targets after a failed attempt.
    fn on_attempt_failed(&mut self, now: Instant, id: JobId) {
        let stream = self.streams[id];
        let i = stream.request.0 as usize;
        if self.live.get(&stream) != Some(&id) {
            return;
        }
        self.live.remove(&stream);
        let job = self.jobs[id].clone();
        let dead: Vec<_> = job
            .engines
            .iter()
            .filter(|e| self.engines.states[**e].is_dead)
            .collect();
        let names: Vec<_> = dead.iter().map(|e| engine_name(**e)).collect();
        self.engines.remove(id, &job);
        self.scheduler.on_unconfirmed_failure(now, stream);
        // The platform replaces the host list entry of a dead host in time, and the pool then
        // releases its reservations.
        self.scheduler.end(now, stream, Outcome::TargetFailed);
        let state = &mut self.state[i];
        state.exclude.extend(names);
        state.attempt += 1;
        if state.ended {
            return;
        }
        if state.attempt >= MAX_ATTEMPTS {
            state.ended = true;
            self.results.failed += 1;
            return;
        }
        self.request_reservation(now, i);
        self.start_prefills(now, &job.engines);
    }

    fn on_deadline(&mut self, now: Instant, i: usize) {
        if std::mem::replace(&mut self.state[i].ended, true) {
            return;
        }
        self.results.record_missed(&self.requests[i]);
        let stream = StreamId {
            request: RequestId(i as u128),
            attempt: self.state[i].attempt,
        };
        if let Some(id) = self.live.remove(&stream) {
            let job = self.jobs[id].clone();
            self.engines.remove(id, &job);
            self.start_prefills(now, &job.engines);
        }
        self.scheduler.end(now, stream, Outcome::Cancelled);
    }

    fn on_fault(&mut self, now: Instant, i: usize) {
        let fault = self.mix.faults[i];
        match fault.kind {
            FaultKind::Slow(factor) => self.engines.states[fault.engine].slowdown = factor,
            FaultKind::Die => {
                let state = &mut self.engines.states[fault.engine];
                state.is_dead = true;
                let streams = std::mem::take(&mut state.streams);
                let queued = std::mem::take(&mut state.queue);
                state.used_tokens = 0;
                state.prefilling = None;
                for id in streams.into_iter().chain(queued) {
                    self.push(now + TARGET_TIMEOUT, Event::AttemptFailed(id));
                }
            }
        }
    }

    fn finish(mut self) -> Results {
        self.results.lost = self.state.iter().filter(|s| !s.ended).count() as u64;
        let used: u64 = self.engines.states.iter().map(|s| s.used_tokens).sum();
        self.results.memory_left = used.max(self.scheduler.reserved());
        self.results
    }
}

fn engine_number(name: &HostName) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("an engine name is `e` and its index")
}
