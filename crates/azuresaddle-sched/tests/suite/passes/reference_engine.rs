//! Engine specification shared by the tests and the benchmark.

use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;

/// Speeds and sizes of the reference engine.
pub(crate) fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_1k_context: 0.00254,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_1m_pairs: 0.0917,
        max_prefill_tokens_per_step: 2048,
        helper_hop_ms: 0.1,
        report_lag: Duration::from_millis(200),
        mean_answer_tokens: 1540,
    }
}
