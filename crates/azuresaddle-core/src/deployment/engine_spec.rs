//! Speeds and sizes of a model engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How an engine works, as its service's configuration states it.
///
/// An engine works in passes. A pass with streams that write runs `steps_per_pass` token steps, and
/// reads waiting prompts besides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Streams at a time.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Token steps of a pass with streams that write.
    pub steps_per_pass: u32,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing stream adds to a step, in milliseconds.
    pub step_ms_per_stream: f64,
    /// Time that 1,000 tokens of a writing stream's context add to a step, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read in a millisecond.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    #[serde(rename = "ms_per_1m_pairs")]
    pub attention_ms_per_1m_pairs: f64,
    /// Most prompt tokens read in one step.
    #[serde(rename = "max_read_tokens_per_step")]
    pub max_prefill_tokens_per_step: u32,
    /// Time that each other holder of a prompt's memory adds to a step, in milliseconds.
    #[serde(rename = "holder_hop_ms")]
    pub helper_hop_ms: f64,
    /// Age of what a load report says.
    pub report_lag: Duration,
    /// Mean tokens of an answer.
    #[serde(rename = "usual_answer_tokens")]
    pub mean_answer_tokens: u64,
}

impl EngineSpec {
    /// Time to read a whole prompt on one engine without writing streams, in milliseconds; with them
    /// the steps are those of the streams.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let steps = tokens / f64::from(self.max_prefill_tokens_per_step.max(1));
        tokens / self.prefill_tokens_per_ms
            + pairs * self.attention_ms_per_1m_pairs
            + steps * self.step_ms
    }

    /// Time that a pass spends on token steps, in milliseconds, for `streams` writing streams that
    /// hold `context_tokens` together.
    pub fn decode_ms(&self, streams: usize, context_tokens: u64) -> f64 {
        if streams == 0 {
            return 0.0;
        }
        let step = self.step_ms
            + self.step_ms_per_stream * streams as f64
            + self.step_ms_per_1k_context * context_tokens as f64 / 1000.0;
        step * f64::from(self.steps_per_pass)
    }
}
