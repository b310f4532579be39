//! Options of a pool.

use std::time::Duration;

/// Tuning constants and features of a pool; each feature can be switched off to measure its effect.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolOptions {
    /// Maximum prefill of the short class, in uncached prompt tokens.
    pub short_max_tokens: u64,
    /// Prefill rate assumed for a target until it has been measured, in tokens per second.
    pub initial_prefill_rate: f64,
    /// Duration of a decode step assumed until it has been measured.
    pub initial_decode_step: Duration,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// How long before a prefill's expected end the next short request may be sent to that target.
    pub prefill_lead_time: Duration,
    /// Queue short and long requests separately and limit the targets that run long prefills.
    pub separate_classes: bool,
    /// Order by least slack instead of first come, first served.
    pub order_by_slack: bool,
    /// Let requests overtake one that does not fit yet, and drain targets for that one.
    pub backfill: bool,
    /// Prefer targets that hold the prompt's prefix.
    pub prefix_affinity: bool,
    /// Share the pool fairly among client accounts under contention.
    pub fair_accounts: bool,
    /// Refuse requests that can't meet their deadline.
    pub check_deadlines: bool,
    /// Avoid targets that are much slower than the others.
    pub avoid_slow: bool,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            short_max_tokens: 8192,
            initial_prefill_rate: 40_000.0,
            initial_decode_step: Duration::from_millis(20),
            max_waiting: 20_000,
            prefill_lead_time: Duration::from_millis(4),
            separate_classes: true,
            order_by_slack: true,
            backfill: true,
            prefix_affinity: true,
            fair_accounts: true,
            check_deadlines: true,
            avoid_slow: true,
        }
    }
}

impl PoolOptions {
    /// A single queue in order of arrival: only late binding to targets and the exact memory ledger
    /// stay on.
    pub fn fifo() -> Self {
        Self {
            prefill_lead_time: Duration::ZERO,
            separate_classes: false,
            order_by_slack: false,
            backfill: false,
            prefix_affinity: false,
            fair_accounts: false,
            check_deadlines: false,
            avoid_slow: false,
            ..Self::default()
        }
    }
}
