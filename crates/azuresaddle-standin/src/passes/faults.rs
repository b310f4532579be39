//! What goes wrong on a day in virtual time.

/// Faults of a day; none unless set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Time after which another node places, over and over, in seconds.
    pub owner_change_interval_s: Option<f64>,
    /// Engines that are slow all day.
    pub slow_engines: Option<SlowEngines>,
    /// An account that asks far more than the others.
    pub flood: Option<Flood>,
    /// Part of the engines that is gone for good.
    pub lost_engine_share: f64,
    /// Times that quick questions come as often in their own phase of the day; 0 for the usual.
    pub quick_burst_factor: f64,
    /// The owner of a pool decides nothing for a while, over and over.
    pub owner_stalls: Option<OwnerStall>,
    /// Two nodes place in the same pool for a while.
    pub split_brain: Option<SplitBrain>,
    /// Nodes that reach engines and callers, but no other node.
    pub isolated_nodes: Option<IsolatedNodes>,
    /// A request that ends each engine that begins to write its answer, and comes again and again.
    pub crashing_request: Option<CrashingRequest>,
    /// Engines that limit their rate for a while.
    pub rate_limited: Option<RateLimitedEngines>,
}

/// Engines that name a limit for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitedEngines {
    /// Their number; the first ones, on which short streams are packed.
    pub count: usize,
    /// Requests a second that each of them takes.
    pub requests_per_s: f64,
    /// While they do.
    pub span: Span,
}

/// A request that ends engines; it counts for nobody's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashingRequest {
    /// While it comes.
    pub span: Span,
    /// Attempts a second.
    pub requests_per_s: f64,
    /// Time until another engine is there in the stead of one that ended, in seconds.
    pub replacement_delay_s: f64,
}

/// Stalls of an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerStall {
    /// Time from one to the next, in seconds.
    pub interval_s: f64,
    /// Time of one, in seconds.
    pub duration_s: f64,
}

/// Two owners at a time; each gets half of the requests and knows only of these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitBrain {
    /// Until all nodes agree again.
    pub span: Span,
}

/// A part of a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
}

impl Span {
    /// Whether a moment, in milliseconds, is in it.
    pub(super) fn contains(&self, at_ms: f64) -> bool {
        (self.from_s * 1000.0..self.to_s * 1000.0).contains(&at_ms)
    }
}

/// Nodes that are cut off from all others, each alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IsolatedNodes {
    /// Their number.
    pub count: usize,
    /// Part of the requests that they get.
    pub request_share: f64,
    /// While they are cut off.
    pub span: Span,
}

/// One client account's flood of quick questions; they count for nobody's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// Engines that are slower than the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowEngines {
    /// Their number.
    pub count: usize,
    /// Time of their work against that of a usual engine.
    pub pace: f64,
}

impl Faults {
    /// Names of the troubles that [`Faults::add`] knows.
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

    /// Adds a trouble in its usual strength; a name that is not known changes nothing.
    pub fn add(&mut self, name: &str) {
        match name {
            // Restarts in series change the owner as often.
            "owner-changes" => self.owner_change_interval_s = Some(4.0),
            // About a sixth of the engines.
            "slow-engines" => {
                self.slow_engines = Some(SlowEngines {
                    count: 3,
                    pace: 3.0,
                });
            }
            // Several times what all the others ask in that phase.
            "flood" => {
                self.flood = Some(Flood {
                    from_s: 13.0,
                    to_s: 19.0,
                    requests_per_s: 300.0,
                });
            }
            "few-engines" => self.lost_engine_share = 0.3,
            // With few engines about twice what these can do.
            "quick-burst" => self.quick_burst_factor = 1.4,
            // What it takes to notice a killed owner.
            "short-stalls" => {
                self.owner_stalls = Some(OwnerStall {
                    interval_s: 8.0,
                    duration_s: 0.3,
                });
            }
            // A frozen owner that is waited for.
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
            // As callers of such a request were seen to repeat it.
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
            // A third of a small pool, as far below their share as engines in need were seen to ask.
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

    /// Engines that are left of a number.
    pub(super) fn engines_left(&self, engines: usize) -> usize {
        engines - (engines as f64 * self.lost_engine_share) as usize
    }

    /// Time of an engine's work against that of a usual engine.
    pub(super) fn pace(&self, engine: usize) -> f64 {
        match self.slow_engines {
            Some(slow) if engine < slow.count => slow.pace,
            _ => 1.0,
        }
    }
}
