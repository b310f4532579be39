//! Faults and load spikes of a simulated day.

/// Faults and load spikes of a day. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Time between changes of the owner of each pool, in seconds.
    pub owner_change_interval_s: Option<f64>,
    /// Engines that are slow during the whole day.
    pub slow_engines: Option<SlowEngines>,
    /// A client account that sends far more requests than the others.
    pub flood: Option<Flood>,
    /// Fraction of the engines that is missing during the whole day.
    pub lost_engine_share: f64,
    /// Factor of the rate of the first request kind; 0 leaves the rate as it is.
    pub quick_burst_factor: f64,
    /// Repeated stalls of the owner of the first pool.
    pub owner_stalls: Option<OwnerStall>,
    /// Period in which two nodes act as owners of the first pool.
    pub split_brain: Option<SplitBrain>,
    /// Nodes that can reach engines and callers, but no other node.
    pub isolated_nodes: Option<IsolatedNodes>,
    /// A repeated request that crashes each engine that begins to decode its answer.
    pub crashing_request: Option<CrashingRequest>,
    /// Engines that limit their request rate for a part of the day.
    pub rate_limited: Option<RateLimitedEngines>,
}

/// Engines that announce a rate limit, which holds for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitedEngines {
    /// Number of limited engines. They are the first ones, on which short streams are packed.
    pub count: usize,
    /// Limit of each engine, in requests per second.
    pub requests_per_s: f64,
    /// Time span of the limit.
    pub span: Span,
}

/// A request that crashes engines. It is not scored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashingRequest {
    /// Time span in which it is sent.
    pub span: Span,
    /// Attempts per second.
    pub requests_per_s: f64,
    /// Time until a crashed engine is replaced by a new one, in seconds.
    pub replacement_delay_s: f64,
}

/// Repeated stalls of a pool owner, in which it decides nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerStall {
    /// Time from the start of one stall to the next, in seconds.
    pub interval_s: f64,
    /// Duration of each stall, in seconds.
    pub duration_s: f64,
}

/// Two concurrent owners of a pool. Each gets half of the requests and knows only these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitBrain {
    /// Time span until all nodes agree on one owner again.
    pub span: Span,
}

/// A time span within a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
}

impl Span {
    /// Whether a time in milliseconds lies within the span.
    pub(super) fn contains(&self, at_ms: f64) -> bool {
        (self.from_s * 1000.0..self.to_s * 1000.0).contains(&at_ms)
    }
}

/// Nodes that are each partitioned from all other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IsolatedNodes {
    /// Number of isolated nodes.
    pub count: usize,
    /// Fraction of the requests that arrive at them.
    pub request_share: f64,
    /// Time span of the partition.
    pub span: Span,
}

/// A flood of requests of the first kind from one client account. They are not scored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// Engines that are slower than the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowEngines {
    /// Number of slow engines.
    pub count: usize,
    /// Factor by which their work takes longer than on the other engines.
    pub pace: f64,
}

impl Faults {
    /// Names of the faults that [`Faults::add`] knows.
    pub const NAMES: [&'static str; 11] = [
        "owner-changes",
        "slow-engines",
        "flood",
        "few-engines",
        "quick-burst",
        "short-stalls",
        "long-stalls",
        "split-owner",
        "cut-off",
        "crashing-request",
        "limited-engines",
    ];

    /// Adds a fault by name, with its default parameters. An unknown name has no effect.
    pub fn add(&mut self, name: &str) {
        match name {
            // A rolling restart of the nodes changes the owner this often.
            "owner-changes" => self.owner_change_interval_s = Some(4.0),
            // About a sixth of the engines.
            "slow-engines" => {
                self.slow_engines = Some(SlowEngines {
                    count: 3,
                    pace: 3.0,
                });
            }
            // Several times the requests of all other accounts in that phase.
            "flood" => {
                self.flood = Some(Flood {
                    from_s: 13.0,
                    to_s: 19.0,
                    requests_per_s: 300.0,
                });
            }
            "few-engines" => self.lost_engine_share = 0.3,
            // Together with `few-engines`, about twice the load that the engines can serve.
            "quick-burst" => self.quick_burst_factor = 1.4,
            // As long as it takes to detect that an owner was killed.
            "short-stalls" => {
                self.owner_stalls = Some(OwnerStall {
                    interval_s: 8.0,
                    duration_s: 0.3,
                });
            }
            // As long as a frozen owner is waited for.
            "long-stalls" => {
                self.owner_stalls = Some(OwnerStall {
                    interval_s: 8.0,
                    duration_s: 2.0,
                });
            }
            "split-owner" => {
                self.split_brain = Some(SplitBrain {
                    span: Span {
                        from_s: 15.0,
                        to_s: 18.0,
                    },
                });
            }
            // A third of the nodes of a large fleet.
            "cut-off" => {
                self.isolated_nodes = Some(IsolatedNodes {
                    count: 100,
                    request_share: 0.33,
                    span: Span {
                        from_s: 1.0,
                        to_s: 13.0,
                    },
                });
            }
            // The rate at which callers were observed to repeat such a request.
            "crashing-request" => {
                self.crashing_request = Some(CrashingRequest {
                    span: Span {
                        from_s: 8.0,
                        to_s: 20.0,
                    },
                    requests_per_s: 3.0,
                    replacement_delay_s: 3.5,
                });
            }
            // A third of a small pool, with limits as far below their share of the load as overloaded
            // engines were observed to announce.
            "limited-engines" => {
                self.rate_limited = Some(RateLimitedEngines {
                    count: 5,
                    requests_per_s: 1.9,
                    span: Span {
                        from_s: 8.0,
                        to_s: 24.0,
                    },
                });
            }
            _ => {}
        }
    }

    /// Number of engines that remain of `engines`.
    pub(super) fn engines_left(&self, engines: usize) -> usize {
        engines - (engines as f64 * self.lost_engine_share) as usize
    }

    /// Factor by which the work of an engine takes longer than usual.
    pub(super) fn pace(&self, engine: usize) -> f64 {
        match self.slow_engines {
            Some(slow) if engine < slow.count => slow.pace,
            _ => 1.0,
        }
    }
}
