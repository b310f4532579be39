//! Options of an engine.

use std::time::Duration;

/// Size and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Duration of a decode step with a single stream.
    pub decode_step: Duration,
    /// Relative increase of the step duration for each additional stream.
    pub batch_slowdown: f64,
    /// Capacity of the prefix cache, in blocks of 1024 tokens.
    pub cache_blocks: usize,
    /// Delay with which the load report shows the engine's state.
    pub load_lag: Duration,
    /// Whether requests with an outdated fencing token are rejected.
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
