//! Options of an engine.

use std::time::Duration;

/// Size and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Prefill rate, in tokens a second.
    pub prefill_rate: f64,
    /// Time of one decode step of a single stream.
    pub decode_step: Duration,
    /// Part by which each further stream makes a step longer.
    pub batch_slowdown: f64,
    /// Blocks of the prefix cache, 1024 tokens each.
    pub cache_blocks: usize,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory_tokens: 400_000,
            prefill_rate: 40_000.0,
            decode_step: Duration::from_millis(20),
            batch_slowdown: 0.01,
            cache_blocks: 256,
            load_lag: Duration::from_millis(500),
            checks_fencing: true,
        }
    }
}
