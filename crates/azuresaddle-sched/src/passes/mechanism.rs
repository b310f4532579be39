//! Mechanisms of a pool that can be switched off individually.

use std::fmt;
use std::str::FromStr;

use super::options::PassOptions;

/// A mechanism of a pool, switched off by its name on the command line.
///
/// All are on by default, except for admission, which the settings of a deployment switch on. Switching one off shows what it contributes, and helps where it does
/// All are on by default, apart from those that a deployment must call for. Switching one off shows what it contributes, and helps where it does
/// harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Short streams are packed on few engines.
    Packing,
    /// Parts are placed only where no stream exceeds its longest pause.
    PauseCheck,
    /// Long prompts are split over several engines.
    Splitting,
    /// Long prompts wait for more engines while that keeps them on time.
    WaitForEngines,
    /// A few short streams are made late if that lets a long prompt be on time.
    BreakPauses,
    /// Requests that cannot be served under the recent load are refused at once.
    EarlyRefusal,
    /// Short prompts are refused at once while the queue is so long that a new one would be late.
    CrowdRefusal,
    /// Late short prompts wait for a place where they make no other stream late.
    LateShortWait,
    /// No part is placed on an engine that is prefilling another one.
    PrefillProtection,
    /// Engines with overdue first events are probed for their pace.
    PaceProbes,
    /// Client accounts share the engines fairly, and floods of one account are refused.
    FairShares,
    /// Copies of a request that a target has crashed under run one after the other.
    SuspectTurns,
    /// A new owner waits until the nodes have reported their streams.
    HandoverWait,
    /// Requests are admitted by an estimate of their wait, and ordered by priority.
    Admission,
    /// The demand of the next moments is forecast, and placement follows it.
    Forecast,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 15] = [
        Self::Packing,
        Self::PauseCheck,
        Self::Splitting,
        Self::WaitForEngines,
        Self::BreakPauses,
        Self::EarlyRefusal,
        Self::CrowdRefusal,
        Self::LateShortWait,
        Self::PrefillProtection,
        Self::PaceProbes,
        Self::FairShares,
        Self::SuspectTurns,
        Self::HandoverWait,
        Self::Admission,
        Self::Forecast,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Packing => "packing",
            Self::PauseCheck => "pause-check",
            Self::Splitting => "splitting",
            Self::WaitForEngines => "wait-for-engines",
            Self::BreakPauses => "break-pauses",
            Self::EarlyRefusal => "early-refusal",
            Self::CrowdRefusal => "crowd-refusal",
            Self::LateShortWait => "late-short-wait",
            Self::PrefillProtection => "read-protection",
            Self::PaceProbes => "pace-checks",
            Self::FairShares => "fair-shares",
            Self::SuspectTurns => "suspect-turns",
            Self::HandoverWait => "handover-wait",
            Self::Admission => "admission",
            Self::Forecast => "forecast",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names: Vec<&str> = Self::ALL.iter().map(|m| m.name()).collect();
        let found = Self::ALL.into_iter().find(|m| m.name() == text);
        found.ok_or_else(|| format!("unknown mechanism {text:?}; one of {}", names.join(", ")))
    }
}

impl PassOptions {
    /// Returns the options with a mechanism switched off.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        let switch = match mechanism {
            Mechanism::Packing => &mut self.pack_short,
            Mechanism::PauseCheck => &mut self.check_pauses,
            Mechanism::Splitting => &mut self.split_long,
            Mechanism::WaitForEngines => &mut self.wait_for_engines,
            Mechanism::BreakPauses => &mut self.break_pauses,
            Mechanism::EarlyRefusal => &mut self.refuse_early,
            Mechanism::CrowdRefusal => &mut self.refuse_crowded,
            Mechanism::LateShortWait => &mut self.late_short_wait,
            Mechanism::PrefillProtection => &mut self.protect_prefills,
            Mechanism::PaceProbes => &mut self.probe_pace,
            Mechanism::FairShares => &mut self.fair_shares,
            Mechanism::SuspectTurns => &mut self.suspects_in_turn,
            Mechanism::HandoverWait => &mut self.handover_wait,
            Mechanism::Admission => &mut self.admission,
            Mechanism::Forecast => &mut self.forecast,
        };
        *switch = false;
        self
    }
}
