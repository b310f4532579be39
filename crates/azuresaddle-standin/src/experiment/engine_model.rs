//! Model of the engines: one prefill at a time, and memory held until the end of the answer.

use std::collections::VecDeque;
use std::time::Duration;

use super::mix::EngineMix;

/// Index of a job. Each attempt of a request is a job of its own.
pub(super) type JobId = usize;

/// One attempt of a request, as sent to its engines.
#[derive(Clone, Debug)]
pub(super) struct EngineJob {
    pub(super) engines: Vec<usize>,
    /// Memory reserved on each engine, in tokens.
    pub(super) memory_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) used_tokens: u64,
    pub(super) prefilling: Option<JobId>,
    pub(super) queue: VecDeque<JobId>,
    pub(super) streams: Vec<JobId>,
    pub(super) is_dead: bool,
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
            used_tokens: 0,
            prefilling: None,
            queue: VecDeque::new(),
            streams: Vec::new(),
            is_dead: false,
            slowdown: 1.0,
        };
        Self {
            mix,
            states: vec![state; mix.count],
        }
    }

    /// Queues a job on its engines. Returns `false` if one of them is dead.
    pub(super) fn accept(&mut self, id: JobId, job: &EngineJob) -> bool {
        if job.engines.iter().any(|e| self.states[*e].is_dead) {
            return false;
        }
        for engine in &job.engines {
            self.states[*engine].queue.push_back(id);
        }
        true
    }

    /// Starts the prefill of the job at the head of an engine's queue if all engines of the job are
    /// ready for it. Returns the job and the duration of its prefill.
    pub(super) fn start_next(
        &mut self,
        engine: usize,
        jobs: &[EngineJob],
    ) -> Option<(JobId, Duration)> {
        let id = *self.states[engine].queue.front()?;
        let job = &jobs[id];
        let ready = job.engines.iter().all(|e| {
            let state = &self.states[*e];
            state.prefilling.is_none()
                && state.queue.front() == Some(&id)
                && state.used_tokens + job.memory_tokens <= self.mix.memory_tokens
        });
        if !ready {
            return None;
        }
        let mut slowdown: f64 = 1.0;
        for e in &job.engines {
            let state = &mut self.states[*e];
            state.queue.pop_front();
            state.prefilling = Some(id);
            state.used_tokens += job.memory_tokens;
            state.streams.push(id);
            slowdown = slowdown.max(state.slowdown);
        }
        Some((id, self.prefill(job).mul_f64(slowdown)))
    }

    /// Frees the prefill slots of a job. Returns the time to decode the rest of its answer.
    pub(super) fn end_prefill(&mut self, id: JobId, job: &EngineJob) -> Duration {
        let mut slowdown: f64 = 1.0;
        for e in &job.engines {
            let state = &mut self.states[*e];
            if state.prefilling == Some(id) {
                state.prefilling = None;
            }
            slowdown = slowdown.max(state.slowdown);
        }
        let steps = (job.answer_tokens - 1) as f64;
        Duration::from_secs_f64(steps * self.mix.decode_step_ms / 1000.0 * slowdown)
    }

    /// Removes a job from its engines and frees its memory.
    pub(super) fn remove(&mut self, id: JobId, job: &EngineJob) {
        for e in &job.engines {
            let state = &mut self.states[*e];
            state.queue.retain(|queued| *queued != id);
            if state.prefilling == Some(id) {
                state.prefilling = None;
            }
            if let Some(at) = state.streams.iter().position(|s| *s == id) {
                state.streams.swap_remove(at);
                state.used_tokens -= job.memory_tokens;
            }
        }
    }

    /// Duration of a job's prefill on engines that are not slowed down.
    fn prefill(&self, job: &EngineJob) -> Duration {
        let rate = self.mix.prefill_rate * job.engines.len() as f64;
        Duration::from_secs_f64(job.prompt_tokens as f64 / rate)
    }

    /// Number of engines whose combined memory a request needs, for `memory` in tokens.
    pub(super) fn required_engines(mix: &EngineMix, memory: u64) -> usize {
        memory.div_ceil(mix.memory_tokens).max(1) as usize
    }
}
