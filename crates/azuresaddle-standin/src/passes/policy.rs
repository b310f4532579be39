//! Policies: the product, the product with single ideas off, and baselines.

use std::str::FromStr;

use azuresaddle_sched::passes::{Mechanism, PassOptions};

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassPolicy {
    /// The product.
    Pool,
    /// Without packing of short streams.
    NoPacking,
    /// Without the check of pauses.
    NoPauseCheck,
    /// Without splitting long prompts.
    NoSplitting,
    /// Long prompts that read quickest first.
    ShortestFirst,
    /// Long prompts take whatever engines are free.
    NoWaitForEngines,
    /// Never makes a short stream late for a long prompt.
    NoBreakPauses,
    /// Holds every prompt until its caller gives up.
    NoEarlyRefusal,
    /// Lets short prompts wait however many there are.
    NoCrowdRefusal,
    /// Parts may push aside what an engine reads for itself.
    NoReadProtection,
    /// Never asks engines for their pace.
    NoPaceChecks,
    /// Prompts in the order of their arrival, whoever sent them.
    NoFairShares,
    /// Copies of a request that an engine has ended under run side by side.
    NoSuspectTurns,
    /// Requests that end engines are sent on.
    NoQuarantine,
    /// Any engine, at once.
    Random,
    /// The engine with the fewest streams, at once.
    LeastRequests,
    /// The engine with the least to read, at once.
    LeastBacklog,
}

impl PassPolicy {
    /// All policies.
    pub const ALL: [Self; 17] = [
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
        Self::Random,
        Self::LeastRequests,
        Self::LeastBacklog,
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
            Self::Random => "random",
            Self::LeastRequests => "least-requests",
            Self::LeastBacklog => "least-backlog",
        }
    }

    /// Whether requests that end engines are kept from them.
    pub(super) fn has_quarantine(self) -> bool {
        self != Self::NoQuarantine
    }

    /// Options of the pool; `None` for a baseline.
    pub(super) fn options(self) -> Option<PassOptions> {
        let all = PassOptions::default();
        Some(match self {
            Self::Pool | Self::NoQuarantine => all,
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
            Self::NoReadProtection => all.without(Mechanism::ReadProtection),
            Self::NoPaceChecks => all.without(Mechanism::PaceChecks),
            Self::NoFairShares => all.without(Mechanism::FairShares),
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
