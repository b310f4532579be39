//! Engine events of a simulated day.

use super::{Event, OWNER_DELAY_MS, Simulation};

impl Simulation<'_> {
    pub(super) fn on_engines_reached(&mut self, at_ms: f64, i: usize) {
        let engines = self.streams[i].engines.clone();
        if engines.iter().any(|e| self.crashed[*e]) {
            // The engine crashed while the request was on its way.
            return self.decline_stream(at_ms, i);
        }
        self.streams[i].parts_left = engines.len();
        for (n, engine) in engines.iter().enumerate() {
            self.received_at_ms[*engine].push(at_ms);
            let tokens = self.requests[i].prompt_tokens;
            self.engines[*engine].add_prefill(i, tokens, engines.len(), n > 0);
            self.begin_pass(at_ms, *engine);
        }
    }

    fn begin_pass(&mut self, at_ms: f64, engine: usize) {
        if self.engines[engine].is_busy() {
            return;
        }
        if let Some(ms) = self.engines[engine].begin_pass() {
            self.push(at_ms + ms, Event::PassEnd(engine));
        }
    }

    pub(super) fn end_pass(&mut self, at_ms: f64, engine: usize) {
        if self.crashed[engine] {
            return;
        }
        let end = self.engines[engine].end_pass();
        for (i, is_last) in end.events {
            let stream = &mut self.streams[i];
            let pause = at_ms - stream.last_event_at;
            stream.longest_pause_ms = stream.longest_pause_ms.max(pause);
            stream.last_event_at = at_ms;
            stream.events += 1;
            if is_last {
                self.finish(at_ms, i);
            }
        }
        for i in end.prefilled {
            self.streams[i].parts_left -= 1;
            if self.streams[i].parts_left == 0 {
                self.first_event(at_ms, i);
            }
        }
        self.begin_pass(at_ms, engine);
    }

    fn first_event(&mut self, at_ms: f64, i: usize) {
        let stream = &mut self.streams[i];
        match stream.first_at {
            None => stream.first_at = Some(at_ms),
            Some(_) => {
                let pause = at_ms - stream.last_event_at;
                stream.longest_pause_ms = stream.longest_pause_ms.max(pause);
            }
        }
        stream.last_event_at = at_ms;
        stream.events += 1;
        let events = stream.events;
        let lead = stream.engines[0];
        self.push(at_ms + OWNER_DELAY_MS, Event::FirstEventReported(i));
        let request = &self.requests[i];
        let step = u64::from(self.workload.spec.steps_per_pass);
        if request.crashes_engine {
            self.push(at_ms, Event::Crash(lead));
            return;
        }
        let left = request.answer_tokens.saturating_sub(step * events);
        if left == 0 {
            return self.finish(at_ms, i);
        }
        let context = request.prompt_tokens / self.streams[i].engines.len().max(1) as u64;
        let fits = request.prompt_tokens <= self.workload.spec.memory_tokens;
        let context = if fits { request.prompt_tokens } else { context };
        self.engines[lead].add_decode(i, context, left);
        self.begin_pass(at_ms, lead);
    }

    fn finish(&mut self, at_ms: f64, i: usize) {
        self.streams[i].ended_at = Some(at_ms);
        self.push(at_ms + OWNER_DELAY_MS, Event::EndReported(i));
    }
}
