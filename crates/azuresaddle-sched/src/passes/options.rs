//! Options of a pool of engines.

/// What a pool does; each idea can be switched off to measure it.
#[derive(Clone, Debug, PartialEq)]
pub struct PassOptions {
    /// Longest read that counts as short, in milliseconds.
    pub short_prefill_ms: f64,
    /// Pack short streams on few engines; spread them otherwise.
    pub pack_short: bool,
    /// Place parts only where every pause is kept.
    pub check_pauses: bool,
    /// Split long prompts over engines; only what needs the memory of several otherwise.
    pub split_long: bool,
    /// Long prompts that read quickest first; in the order of arrival otherwise.
    pub shortest_first: bool,
    /// Let long prompts wait for more engines while that keeps them on time.
    pub wait_for_engines: bool,
    /// Make a few short streams late where that brings a long prompt home in time.
    pub break_pauses: bool,
    /// Refuse at once what the load of late gives no chance.
    pub refuse_early: bool,
    /// Refuse short prompts at once while so many wait that a new one would be late.
    pub refuse_crowded: bool,
    /// Keep parts from engines that are reading a prompt of their own.
    pub protect_prefills: bool,
    /// Ask engines for their pace where first events are overdue.
    pub check_pace: bool,
    /// Give waiting prompts their turn by the shares of the client accounts.
    pub fair_shares: bool,
    /// Let late short prompts wait for a place where they make no other late.
    pub late_short_wait: bool,
    /// Let copies of a request that a target has ended under run one after the other.
    pub suspects_in_turn: bool,
    /// Let a new owner of the pool wait for the nodes to tell their streams.
    pub handover_wait: bool,
}

impl Default for PassOptions {
    fn default() -> Self {
        Self {
            // Two short prompts of the usual length; what takes longer is better split.
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
            check_pace: true,
            fair_shares: true,
            late_short_wait: true,
            suspects_in_turn: true,
            handover_wait: true,
        }
    }
}
