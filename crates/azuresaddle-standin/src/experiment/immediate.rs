//! Baselines that place each request on arrival.

use std::collections::VecDeque;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Grant, ReservationRequest};
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::engine_model::Engines;
use super::mix::EngineMix;
use super::policy::Policy;

/// Age of the load data that the power-of-two-choices policy works with.
const LOAD_LAG: Duration = Duration::from_millis(500);

/// Places each request on arrival by a simple rule.
pub(super) struct Immediate {
    policy: Policy,
    mix: EngineMix,
    rng: StdRng,
    next_engine: usize,
    /// Prompt tokens on each engine whose first token is outstanding.
    backlog: Vec<f64>,
    /// Number of requests on each engine.
    outstanding: Vec<usize>,
    placed: std::collections::HashMap<StreamId, (Vec<usize>, f64, bool)>,
    /// Changes of the backlog that are not yet part of the lagged backlog.
    pending_changes: VecDeque<(Instant, usize, f64)>,
    lagged_backlog: Vec<f64>,
    actions: Vec<Action>,
    pub(super) names: Vec<HostName>,
}

impl Immediate {
    pub(super) fn new(policy: Policy, mix: EngineMix, names: Vec<HostName>, seed: u64) -> Self {
        Self {
            policy,
            mix,
            rng: StdRng::seed_from_u64(seed),
            next_engine: 0,
            backlog: vec![0.0; mix.count],
            outstanding: vec![0; mix.count],
            placed: Default::default(),
            pending_changes: VecDeque::new(),
            lagged_backlog: vec![0.0; mix.count],
            actions: Vec::new(),
            names,
        }
    }

    pub(super) fn enqueue(&mut self, now: Instant, request: &ReservationRequest) {
        self.apply_lagged_changes(now);
        let members = Engines::required_engines(&self.mix, request.memory_tokens());
        let usable: Vec<usize> = (0..self.mix.count)
            .filter(|e| !request.exclude.contains(&self.names[*e]))
            .collect();
        let engines = self.choose(&usable, members.min(usable.len()));
        let share = request.prompt_tokens as f64 / members as f64;
        for e in &engines {
            self.add_backlog(now, *e, share);
            self.outstanding[*e] += 1;
        }
        self.actions.push(Action::Reserved(Grant {
            stream: request.stream,
            targets: engines.iter().map(|e| self.names[*e].clone()).collect(),
            memory_tokens: request.memory_tokens().div_ceil(members as u64),
        }));
        self.placed.insert(request.stream, (engines, share, false));
    }

    pub(super) fn first_token(&mut self, now: Instant, stream: StreamId) {
        let Some((engines, share, seen)) = self.placed.get_mut(&stream) else {
            return;
        };
        if !std::mem::replace(seen, true) {
            let (engines, share) = (engines.clone(), *share);
            for e in engines {
                self.add_backlog(now, e, -share);
            }
        }
    }

    pub(super) fn end(&mut self, now: Instant, stream: StreamId) {
        self.first_token(now, stream);
        if let Some((engines, _, _)) = self.placed.remove(&stream) {
            for e in engines {
                self.outstanding[e] -= 1;
            }
        }
    }

    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn choose(&mut self, usable: &[usize], members: usize) -> Vec<usize> {
        let mut order: Vec<usize> = usable.to_vec();
        match self.policy {
            Policy::RoundRobin => {
                self.next_engine += members;
                let next = self.next_engine;
                order.rotate_left(next % usable.len());
            }
            Policy::LeastOutstanding => order.sort_by_key(|e| self.outstanding[*e]),
            Policy::LeastBacklog => {
                order.sort_by(|a, b| self.backlog[*a].total_cmp(&self.backlog[*b]));
            }
            Policy::PowerOfTwo => return self.best_of_two(usable, members),
            _ => {
                let picked = sample(&mut self.rng, usable.len(), members);
                return picked.into_iter().map(|i| usable[i]).collect();
            }
        }
        order.truncate(members);
        order
    }

    fn best_of_two(&mut self, usable: &[usize], members: usize) -> Vec<usize> {
        let mut left = usable.to_vec();
        let mut chosen = Vec::new();
        for _ in 0..members {
            let one = self.rng.random_range(0..left.len());
            let two = self.rng.random_range(0..left.len());
            let better = if self.lagged_backlog[left[one]] <= self.lagged_backlog[left[two]] {
                one
            } else {
                two
            };
            chosen.push(left.swap_remove(better));
        }
        chosen
    }

    fn add_backlog(&mut self, now: Instant, engine: usize, tokens: f64) {
        self.backlog[engine] += tokens;
        self.pending_changes.push_back((now, engine, tokens));
    }

    fn apply_lagged_changes(&mut self, now: Instant) {
        while let Some((at, engine, tokens)) = self.pending_changes.front().copied() {
            if at + LOAD_LAG > now {
                return;
            }
            self.lagged_backlog[engine] += tokens;
            self.pending_changes.pop_front();
        }
    }
}
