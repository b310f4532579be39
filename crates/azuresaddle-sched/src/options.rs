//! Options of a pool.

use std::time::Duration;

/// What a pool does and with which constants; each idea can be switched off to measure it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolOptions {
    /// Longest prefill of the short class, in uncached prompt tokens.
    pub short_max_tokens: u64,
    /// Prefill rate assumed of a target until it is learned, in tokens a second.
    pub initial_prefill_rate: f64,
    /// Time of one decode step assumed until it is learned.
    pub initial_decode_step: Duration,
    /// Most waiting requests.
    pub max_waiting: usize,
    /// How long before a prefill's expected end the next short one is sent to the same target.
    pub prefill_lead_time: Duration,
    /// Separate queues by class and a bound on targets that run long prefills.
    pub separate_classes: bool,
    /// Order by least slack; first come, first served otherwise.
    pub order_by_slack: bool,
    /// Let requests pass one that does not fit yet, and drain targets for that one.
    pub backfill: bool,
    /// Prefer targets that hold the prompt's prefix.
    pub prefix_affinity: bool,
    /// Share the pool among client accounts in contention.
    pub fair_accounts: bool,
    /// Refuse what can't meet its deadline.
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
    /// One queue in order of arrival, with late binding and an exact ledger only.
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
