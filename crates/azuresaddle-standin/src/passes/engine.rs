//! Performance model of an engine that works in passes.

use std::collections::VecDeque;

use azuresaddle_core::deployment::EngineSpec;

/// A stream that is decoding.
#[derive(Clone, Copy, Debug)]
struct DecodingStream {
    stream: usize,
    context: u64,
    tokens_left: u64,
}

/// A part of a prompt that this engine has to prefill.
#[derive(Clone, Copy, Debug)]
struct PrefillPart {
    stream: usize,
    tokens_left: u64,
    ms_per_token: f64,
}

/// Result of a pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassResult {
    /// Streams that emitted an event, with whether it was their last.
    pub events: Vec<(usize, bool)>,
    /// Streams whose prompt part on this engine has been prefilled.
    pub prefilled: Vec<usize>,
}

/// State of one modelled engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    pace: f64,
    decoding: Vec<DecodingStream>,
    /// Parts prefilled as a helper of other engines; they come first.
    helper_parts: VecDeque<PrefillPart>,
    /// Parts of prompts whose answers this engine decodes.
    lead_parts: VecDeque<PrefillPart>,
    pass: Option<PassResult>,
}

impl EngineModel {
    /// Creates an idle engine whose work takes `pace` times as long as `spec` says.
    pub fn new(spec: EngineSpec, pace: f64) -> Self {
        Self {
            spec,
            pace,
            decoding: Vec::new(),
            helper_parts: VecDeque::new(),
            lead_parts: VecDeque::new(),
            pass: None,
        }
    }

    /// Queues this engine's part of a prompt of `prompt_tokens` that is split evenly over `parts`
    /// engines. With `is_helper`, another engine decodes the answer.
    pub fn add_prefill(
        &mut self,
        stream: usize,
        prompt_tokens: u64,
        parts: usize,
        is_helper: bool,
    ) {
        let tokens = prompt_tokens.div_ceil(parts as u64).max(1);
        let steps = prompt_tokens as f64 / f64::from(self.spec.max_prefill_tokens_per_step);
        let total_ms = self.spec.prefill_ms(prompt_tokens) - steps * self.spec.step_ms;
        let ms = total_ms / parts as f64;
        let part = PrefillPart {
            stream,
            tokens_left: tokens,
            ms_per_token: ms / tokens as f64,
        };
        if is_helper {
            self.helper_parts.push_back(part);
        } else {
            self.lead_parts.push_back(part);
        }
    }

    /// Starts to decode an answer whose first event has been emitted. `context` is the length of the
    /// context in tokens.
    pub fn add_decode(&mut self, stream: usize, context: u64, tokens_left: u64) {
        self.decoding.push(DecodingStream {
            stream,
            context,
            tokens_left,
        });
    }

    /// Removes a stream, because its caller disconnected or another of its engines failed.
    pub fn remove(&mut self, stream: usize) {
        self.decoding.retain(|s| s.stream != stream);
        self.helper_parts.retain(|p| p.stream != stream);
        self.lead_parts.retain(|p| p.stream != stream);
        if let Some(pass) = &mut self.pass {
            pass.events.retain(|(s, _)| *s != stream);
            pass.prefilled.retain(|s| *s != stream);
        }
    }

    /// Whether a pass is running.
    pub fn is_busy(&self) -> bool {
        self.pass.is_some()
    }

    /// Number of streams that decode on this engine or wait for their prefill as its own streams.
    pub fn stream_count(&self) -> usize {
        self.decoding.len() + self.lead_parts.len()
    }

    /// Time to prefill all queued parts, in milliseconds.
    pub fn prefill_backlog_ms(&self) -> f64 {
        let parts = self.helper_parts.iter().chain(&self.lead_parts);
        parts.map(|p| p.tokens_left as f64 * p.ms_per_token).sum()
    }

    /// Begins the next pass and returns its duration in milliseconds, or `None` if there is no work.
    pub fn begin_pass(&mut self) -> Option<f64> {
        if self.decoding.is_empty() && self.lead_parts.is_empty() && self.helper_parts.is_empty() {
            return None;
        }
        let steps = if self.decoding.is_empty() {
            // Without decoding streams a pass prefills all queued parts.
            let parts = self.helper_parts.iter().chain(&self.lead_parts);
            let tokens: u64 = parts.map(|p| p.tokens_left).sum();
            let per_step = u64::from(self.spec.max_prefill_tokens_per_step);
            u32::try_from(tokens.div_ceil(per_step)).unwrap_or(u32::MAX)
        } else {
            self.spec.steps_per_pass
        };
        let context: u64 = self.decoding.iter().map(|s| s.context).sum();
        let step_ms = self.spec.step_ms
            + self.spec.step_ms_per_stream * self.decoding.len() as f64
            + self.spec.step_ms_per_1k_context * context as f64 / 1000.0;
        let mut end = PassResult::default();
        let tokens = u64::from(self.spec.max_prefill_tokens_per_step) * u64::from(steps);
        let prefill_ms = self.prefill(tokens, &mut end);
        self.decode(&mut end);
        self.pass = Some(end);
        Some((step_ms * f64::from(steps) + prefill_ms) * self.pace)
    }

    fn prefill(&mut self, mut tokens: u64, end: &mut PassResult) -> f64 {
        let mut ms = 0.0;
        for queue in [&mut self.helper_parts, &mut self.lead_parts] {
            while let Some(part) = queue.front_mut()
                && tokens > 0
            {
                let taken = part.tokens_left.min(tokens);
                tokens -= taken;
                part.tokens_left -= taken;
                ms += taken as f64 * part.ms_per_token;
                if part.tokens_left == 0 {
                    end.prefilled.push(part.stream);
                    queue.pop_front();
                }
            }
        }
        ms
    }

    fn decode(&mut self, end: &mut PassResult) {
        let steps = u64::from(self.spec.steps_per_pass);
        for stream in &mut self.decoding {
            let written = stream.tokens_left.min(steps);
            stream.tokens_left -= written;
            stream.context += written;
            end.events.push((stream.stream, stream.tokens_left == 0));
        }
        self.decoding.retain(|s| s.tokens_left > 0);
    }

    /// Ends the running pass and returns its result, which is empty if no pass was running.
    pub fn end_pass(&mut self) -> PassResult {
        self.pass.take().unwrap_or_default()
    }
}
