//! Model of an engine that works in passes.

use std::collections::VecDeque;

use azuresaddle_core::deployment::EngineSpec;

/// A stream that writes.
#[derive(Clone, Copy, Debug)]
struct Writer {
    stream: usize,
    context: u64,
    tokens_left: u64,
}

/// A part of a prompt that is read here.
#[derive(Clone, Copy, Debug)]
struct Read {
    stream: usize,
    tokens_left: u64,
    ms_per_token: f64,
}

/// What a pass brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassEnd {
    /// Streams that wrote an event, and whether it was the last.
    pub events: Vec<(usize, bool)>,
    /// Streams whose part here is read.
    pub read: Vec<usize>,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    pace: f64,
    writers: Vec<Writer>,
    /// Parts for other engines; read first.
    helps: VecDeque<Read>,
    own: VecDeque<Read>,
    pass: Option<PassEnd>,
}

impl EngineModel {
    /// An idle engine whose work takes `pace` times the usual time.
    pub fn new(spec: EngineSpec, pace: f64) -> Self {
        Self {
            spec,
            pace,
            writers: Vec::new(),
            helps: VecDeque::new(),
            own: VecDeque::new(),
            pass: None,
        }
    }

    /// Queues a part of a prompt of `prompt_tokens`, split evenly over `parts` engines.
    pub fn add_read(&mut self, stream: usize, prompt_tokens: u64, parts: usize, is_help: bool) {
        let tokens = prompt_tokens.div_ceil(parts as u64).max(1);
        let steps = prompt_tokens as f64 / f64::from(self.spec.max_prefill_tokens_per_step);
        let reading_ms = self.spec.prefill_ms(prompt_tokens) - steps * self.spec.step_ms;
        let ms = reading_ms / parts as f64;
        let read = Read {
            stream,
            tokens_left: tokens,
            ms_per_token: ms / tokens as f64,
        };
        if is_help {
            self.helps.push_back(read);
        } else {
            self.own.push_back(read);
        }
    }

    /// Starts to write an answer; its first event is out.
    pub fn add_writer(&mut self, stream: usize, context: u64, tokens_left: u64) {
        self.writers.push(Writer {
            stream,
            context,
            tokens_left,
        });
    }

    /// Forgets a stream, whose caller or another engine of it is gone.
    pub fn remove(&mut self, stream: usize) {
        self.writers.retain(|w| w.stream != stream);
        self.helps.retain(|r| r.stream != stream);
        self.own.retain(|r| r.stream != stream);
        if let Some(pass) = &mut self.pass {
            pass.events.retain(|(s, _)| *s != stream);
            pass.read.retain(|s| *s != stream);
        }
    }

    /// Whether a pass runs.
    pub fn is_busy(&self) -> bool {
        self.pass.is_some()
    }

    /// Streams that write or wait to be read here.
    pub fn load(&self) -> usize {
        self.writers.len() + self.own.len()
    }

    /// Time to read all that waits here, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        let reads = self.helps.iter().chain(&self.own);
        reads.map(|r| r.tokens_left as f64 * r.ms_per_token).sum()
    }

    /// Begins the next pass and returns its time in milliseconds; `None` where there is no work.
    pub fn begin_pass(&mut self) -> Option<f64> {
        if self.writers.is_empty() && self.own.is_empty() && self.helps.is_empty() {
            return None;
        }
        let steps = if self.writers.is_empty() {
            // Everything that waits is read.
            let reads = self.helps.iter().chain(&self.own);
            let tokens: u64 = reads.map(|r| r.tokens_left).sum();
            let per_step = u64::from(self.spec.max_prefill_tokens_per_step);
            u32::try_from(tokens.div_ceil(per_step)).unwrap_or(u32::MAX)
        } else {
            self.spec.steps_per_pass
        };
        let context: u64 = self.writers.iter().map(|w| w.context).sum();
        let step_ms = self.spec.step_ms
            + self.spec.step_ms_per_stream * self.writers.len() as f64
            + self.spec.step_ms_per_1k_context * context as f64 / 1000.0;
        let mut end = PassEnd::default();
        let tokens = u64::from(self.spec.max_prefill_tokens_per_step) * u64::from(steps);
        let read_ms = self.read(tokens, &mut end);
        self.write(&mut end);
        self.pass = Some(end);
        Some((step_ms * f64::from(steps) + read_ms) * self.pace)
    }

    fn read(&mut self, mut tokens: u64, end: &mut PassEnd) -> f64 {
        let mut ms = 0.0;
        for queue in [&mut self.helps, &mut self.own] {
            while let Some(read) = queue.front_mut()
                && tokens > 0
            {
                let taken = read.tokens_left.min(tokens);
                tokens -= taken;
                read.tokens_left -= taken;
                ms += taken as f64 * read.ms_per_token;
                if read.tokens_left == 0 {
                    end.read.push(read.stream);
                    queue.pop_front();
                }
            }
        }
        ms
    }

    fn write(&mut self, end: &mut PassEnd) {
        let steps = u64::from(self.spec.steps_per_pass);
        for writer in &mut self.writers {
            let written = writer.tokens_left.min(steps);
            writer.tokens_left -= written;
            writer.context += written;
            end.events.push((writer.stream, writer.tokens_left == 0));
        }
        self.writers.retain(|w| w.tokens_left > 0);
    }

    /// Ends the pass.
    pub fn end_pass(&mut self) -> PassEnd {
        self.pass.take().unwrap_or_default()
    }
}
