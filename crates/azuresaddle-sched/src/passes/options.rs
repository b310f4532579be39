//! Options of a pool of engines.

/// Options of a pool; mechanisms can be switched off to measure their effect.
#[derive(Clone, Debug, PartialEq)]
pub struct PassOptions {
    /// Longest prefill that counts as short, in milliseconds.
    pub short_prefill_ms: f64,
    /// Pack short streams on few engines; spread them otherwise.
    pub pack_short: bool,
    /// Place parts only where no stream exceeds its longest pause.
    pub check_pauses: bool,
    /// Split long prompts over engines; otherwise split only those that exceed the memory of one.
    pub split_long: bool,
    /// Place long prompts with the shortest prefill first; in the order of arrival or fair share
    /// otherwise.
    pub shortest_first: bool,
    /// Let long prompts wait for more engines while that keeps them on time.
    pub wait_for_engines: bool,
    /// Make a few short streams late if that lets a long prompt be on time.
    pub break_pauses: bool,
    /// Refuse at once what cannot be served under the recent load.
    pub refuse_early: bool,
    /// Refuse short prompts at once while the queue is so long that a new one would be late.
    pub refuse_crowded: bool,
    /// Place no parts on engines that are already prefilling.
    pub protect_prefills: bool,
    /// Probe engines for their pace when first events are overdue.
    pub probe_pace: bool,
    /// Order waiting requests by the fair shares of their client accounts, and refuse floods.
    pub fair_shares: bool,
    /// Let late short prompts wait for a place where they make no other stream late.
    pub late_short_wait: bool,
    /// Run copies of a request that a target has crashed under one after the other.
    pub suspects_in_turn: bool,
    /// Let a new owner of the pool wait until the nodes have reported their streams.
    pub handover_wait: bool,
    /// Admit requests by an estimate of their wait, and order them by priority.
    pub admission: bool,
    /// Forecast the demand and let placement follow it. Off unless the deployment calls for it.
    pub forecast: bool,
}

impl Default for PassOptions {
    fn default() -> Self {
        Self {
            // Two short prompts of the usual length; longer prefills are better split.
            short_prefill_ms: 60.0,
            pack_short: true,
            check_pauses: true,
            split_long: true,
            shortest_first: false,
            wait_for_engines: true,
            break_pauses: true,
            refuse_early: true,
            refuse_crowded: true,
            protect_prefills: true,
            probe_pace: true,
            fair_shares: true,
            late_short_wait: true,
            suspects_in_turn: true,
            handover_wait: true,
            // Only for deployments whose settings call for it.
            admission: false,
            forecast: false,
        }
    }
}
