//! Performance model of a model engine: speeds and sizes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Performance model of an engine, as stated in its service's configuration.
///
/// An engine works in passes. A pass with decoding streams runs `steps_per_pass` token steps and
/// also prefills waiting prompts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// KV-cache capacity, in tokens.
    pub memory_tokens: u64,
    /// Token steps of a pass with decoding streams.
    pub steps_per_pass: u32,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding stream adds to a token step, in milliseconds.
    pub step_ms_per_stream: f64,
    /// Time that 1,000 tokens of a decoding stream's context add to a token step, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of attention.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Time for the attention of a million pairs of a prompt token and an earlier token, in
    /// milliseconds.
    #[serde(rename = "ms_per_1m_pairs")]
    pub attention_ms_per_1m_pairs: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    #[serde(rename = "max_read_tokens_per_step")]
    pub max_prefill_tokens_per_step: u32,
    /// Time that each helper, another engine that holds part of a prompt's KV cache, adds to a
    /// step, in milliseconds.
    #[serde(rename = "holder_hop_ms")]
    pub helper_hop_ms: f64,
    /// Age of the data in a load report.
    pub report_lag: Duration,
    /// Mean length of an answer, in tokens.
    #[serde(rename = "usual_answer_tokens")]
    pub mean_answer_tokens: u64,
}

impl EngineSpec {
    /// Time to prefill a whole prompt on one engine without decoding streams, in milliseconds. With
    /// decoding streams, the prefill shares their token steps.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let steps = tokens / f64::from(self.max_prefill_tokens_per_step.max(1));
        tokens / self.prefill_tokens_per_ms
            + pairs * self.attention_ms_per_1m_pairs
            + steps * self.step_ms
    }

    /// Time that a pass spends on token steps, in milliseconds, for `streams` decoding streams with
    /// a total context of `context_tokens`.
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
