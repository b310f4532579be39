//! Model of the engines: prefills one at a time, memory held to the end of the answer.

use std::collections::VecDeque;
use std::time::Duration;

use super::mix::EngineMix;

/// Number of an order; a retried request has a new one.
pub(super) type OrderId = usize;

/// An order as the engines see it.
#[derive(Clone, Debug)]
pub(super) struct EngineOrder {
    pub(super) engines: Vec<usize>,
    /// Memory on each engine, in tokens.
    pub(super) memory: u64,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) used: u64,
    pub(super) busy: Option<OrderId>,
    pub(super) queue: VecDeque<OrderId>,
    pub(super) streams: Vec<OrderId>,
    pub(super) dead: bool,
    pub(super) slowdown: f64,
}

/// All engines.
#[derive(Clone, Debug)]
pub(super) struct Engines {
    mix: EngineMix,
    pub(super) states: Vec<EngineState>,
}

impl Engines {
    pub(super) fn new(mix: EngineMix) -> Self {
        let state = EngineState {
            used: 0,
            busy: None,
            queue: VecDeque::new(),
            streams: Vec::new(),
            dead: false,
            slowdown: 1.0,
        };
        Self {
            mix,
            states: vec![state; mix.count],
        }
    }

    /// Queues an order on its engines; false where one is dead.
    pub(super) fn accept(&mut self, id: OrderId, order: &EngineOrder) -> bool {
        if order.engines.iter().any(|e| self.states[*e].dead) {
            return false;
        }
        for engine in &order.engines {
            self.states[*engine].queue.push_back(id);
        }
        true
    }

    /// Starts the prefill at the head of an engine's queue if all its engines are ready for it;
    /// returns the order and the time of its prefill.
    pub(super) fn start_next(
        &mut self,
        engine: usize,
        orders: &[EngineOrder],
    ) -> Option<(OrderId, Duration)> {
        let id = *self.states[engine].queue.front()?;
        let order = &orders[id];
        let ready = order.engines.iter().all(|e| {
            let state = &self.states[*e];
            state.busy.is_none()
                && state.queue.front() == Some(&id)
                && state.used + order.memory <= self.mix.memory_tokens
        });
        if !ready {
            return None;
        }
        let mut slowdown: f64 = 1.0;
        for e in &order.engines {
            let state = &mut self.states[*e];
            state.queue.pop_front();
            state.busy = Some(id);
            state.used += order.memory;
            state.streams.push(id);
            slowdown = slowdown.max(state.slowdown);
        }
        Some((id, self.prefill(order).mul_f64(slowdown)))
    }

    /// Frees the prefill slots of an order; returns the time of the rest of its answer.
    pub(super) fn end_prefill(&mut self, id: OrderId, order: &EngineOrder) -> Duration {
        let mut slowdown: f64 = 1.0;
        for e in &order.engines {
            let state = &mut self.states[*e];
            if state.busy == Some(id) {
                state.busy = None;
            }
            slowdown = slowdown.max(state.slowdown);
        }
        let steps = (order.answer_tokens - 1) as f64;
        Duration::from_secs_f64(steps * self.mix.decode_step_ms / 1000.0 * slowdown)
    }

    /// Forgets an order wherever it is and frees its memory.
    pub(super) fn remove(&mut self, id: OrderId, order: &EngineOrder) {
        for e in &order.engines {
            let state = &mut self.states[*e];
            state.queue.retain(|queued| *queued != id);
            if state.busy == Some(id) {
                state.busy = None;
            }
            if let Some(at) = state.streams.iter().position(|s| *s == id) {
                state.streams.swap_remove(at);
                state.used -= order.memory;
            }
        }
    }

    /// Prefill on engines at full speed.
    fn prefill(&self, order: &EngineOrder) -> Duration {
        let rate = self.mix.prefill_rate * order.engines.len() as f64;
        Duration::from_secs_f64(order.prompt_tokens as f64 / rate)
    }

    /// Engines whose memory a prompt needs together.
    pub(super) fn members(mix: &EngineMix, memory: u64) -> usize {
        memory.div_ceil(mix.memory_tokens).max(1) as usize
    }
}
