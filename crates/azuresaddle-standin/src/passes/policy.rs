//! Placement policies: the product, the product with single mechanisms switched off, and baselines.

use std::str::FromStr;

use azuresaddle_sched::passes::{Mechanism, PassOptions};

/// A placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassPolicy {
    /// The product's pool with all mechanisms.
    Pool,
    /// The pool without packing of short streams.
    NoPacking,
    /// The pool without the check that no stream exceeds its longest pause.
    NoPauseCheck,
    /// The pool without splitting of long prompts.
    NoSplitting,
    /// The pool, with the long prompts that prefill fastest placed first.
    ShortestFirst,
    /// The pool, with long prompts taking the free engines instead of waiting for more.
    NoWaitForEngines,
    /// The pool, never making a short stream late for a long prompt.
    NoBreakPauses,
    /// The pool, holding every prompt until its caller gives up instead of refusing it early.
    NoEarlyRefusal,
    /// The pool, letting short prompts wait however long the queue is.
    NoCrowdRefusal,
    /// The pool, also placing parts on engines that are prefilling another one.
    NoReadProtection,
    /// The pool without pace probes.
    NoPaceChecks,
    /// The pool without fair shares: prompts are served in order of arrival, whichever client account
    /// sent them.
    NoFairShares,
    /// The pool, running copies of a request that an engine has crashed under concurrently.
    NoSuspectTurns,
    /// The pool without the quarantine of requests that crash engines.
    NoQuarantine,
    /// The pool with admission by the estimated wait.
    Admission,
    /// Baseline: a random engine, on arrival.
    Random,
    /// Baseline: the engine with the fewest streams, on arrival.
    LeastRequests,
    /// Baseline: the engine with the smallest prefill backlog, on arrival.
    LeastBacklog,
    /// The pool with the forecast of demand.
    Forecast,
}

impl PassPolicy {
    /// All policies.
    pub const ALL: [Self; 19] = [
        Self::Pool,
        Self::NoPacking,
        Self::NoPauseCheck,
        Self::NoSplitting,
        Self::ShortestFirst,
        Self::NoWaitForEngines,
        Self::NoBreakPauses,
        Self::NoEarlyRefusal,
        Self::NoCrowdRefusal,
        Self::NoReadProtection,
        Self::NoPaceChecks,
        Self::NoFairShares,
        Self::NoSuspectTurns,
        Self::NoQuarantine,
        Self::Admission,
        Self::Random,
        Self::LeastRequests,
        Self::LeastBacklog,
        Self::Forecast,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Pool => "pool",
            Self::NoPacking => "no-packing",
            Self::NoPauseCheck => "no-pause-check",
            Self::NoSplitting => "no-split",
            Self::ShortestFirst => "shortest-first",
            Self::NoWaitForEngines => "no-patience",
            Self::NoBreakPauses => "keep-pauses",
            Self::NoEarlyRefusal => "hold-all",
            Self::NoCrowdRefusal => "hold-crowds",
            Self::NoReadProtection => "push-aside",
            Self::NoPaceChecks => "no-pace",
            Self::NoFairShares => "no-shares",
            Self::NoSuspectTurns => "no-suspect-turns",
            Self::NoQuarantine => "no-quarantine",
            Self::Admission => "admission",
            Self::Random => "random",
            Self::LeastRequests => "least-requests",
            Self::LeastBacklog => "least-backlog",
            Self::Forecast => "forecast",
        }
    }

    /// Whether requests that crash engines are quarantined.
    pub(super) fn has_quarantine(self) -> bool {
        self != Self::NoQuarantine
    }

    /// Options of the pool, or `None` for a baseline.
    pub(super) fn options(self) -> Option<PassOptions> {
        let all = PassOptions::default();
        Some(match self {
            Self::Pool | Self::NoQuarantine => all,
            Self::Admission => PassOptions {
                admission: true,
                ..all
            },
            Self::NoSuspectTurns => all.without(Mechanism::SuspectTurns),
            Self::NoPacking => all.without(Mechanism::Packing),
            Self::NoPauseCheck => all.without(Mechanism::PauseCheck),
            Self::NoSplitting => all.without(Mechanism::Splitting),
            Self::ShortestFirst => PassOptions {
                shortest_first: true,
                ..all
            },
            Self::NoWaitForEngines => all.without(Mechanism::WaitForEngines),
            Self::NoBreakPauses => all.without(Mechanism::BreakPauses),
            Self::NoEarlyRefusal => all.without(Mechanism::EarlyRefusal),
            Self::NoCrowdRefusal => all.without(Mechanism::CrowdRefusal),
            Self::NoReadProtection => all.without(Mechanism::PrefillProtection),
            Self::NoPaceChecks => all.without(Mechanism::PaceProbes),
            Self::NoFairShares => all.without(Mechanism::FairShares),
            Self::Forecast => PassOptions {
                forecast: true,
                ..all
            },
            Self::Random | Self::LeastRequests | Self::LeastBacklog => return None,
        })
    }
}

impl FromStr for PassPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names: Vec<&str> = Self::ALL.iter().map(|p| p.name()).collect();
        Self::ALL
            .into_iter()
            .find(|p| p.name() == text)
            .ok_or_else(|| format!("unknown policy {text:?}; one of {}", names.join(", ")))
    }
}
