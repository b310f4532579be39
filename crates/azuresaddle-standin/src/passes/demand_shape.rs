//! How the request rates of a day vary with time.

use std::f64::consts::TAU;
use std::fmt;
use std::str::FromStr;

use super::workload::RequestKind;

/// Begin and end of each of the three phases of a day, in seconds.
const PHASES: [(f64, f64); 3] = [(1.9, 11.4), (12.0, 21.5), (23.0, 32.5)];

/// Start of the first phase of an alternating day, in seconds; the pools see the mean mix before.
const ALTERNATION_FROM_S: f64 = 2.0;

/// Length of a phase of an alternating day, in seconds. Deployments were seen to change every 9.5
/// to 10 s.
const ALTERNATION_PHASE_S: f64 = 9.75;

/// Period of the wave, in seconds.
const WAVE_PERIOD_S: f64 = 13.0;

/// Largest deviation of the wave from the mean rate, as a fraction of it.
const WAVE_SHARE: f64 = 0.55;

/// Begin and end of the spike, in seconds.
const SPIKE: (f64, f64) = (15.0, 16.0);

/// Factor of all rates during the spike; bursts of 1.5 to 6 times were seen.
const SPIKE_FACTOR: f64 = 4.0;

/// How the request rates of a day vary with time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandShape {
    /// Three phases with the factors of each kind, and its mean rate between them.
    Phases,
    /// Phases of mostly long and mostly short prompts, one directly after the other.
    Alternation,
    /// All kinds rise and fall together.
    Wave,
    /// The mean rates, and once a second of several times as many requests.
    Spike,
    /// The mean rates; only the random distances of the arrivals vary.
    Noise,
}

impl DemandShape {
    /// All shapes.
    pub const ALL: [Self; 5] = [
        Self::Phases,
        Self::Alternation,
        Self::Wave,
        Self::Spike,
        Self::Noise,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Phases => "phases",
            Self::Alternation => "alternation",
            Self::Wave => "wave",
            Self::Spike => "spike",
            Self::Noise => "noise",
        }
    }

    /// Factor of the request rate of a kind at a time of the day, in seconds.
    pub(super) fn factor(self, kind: &RequestKind, at_s: f64) -> f64 {
        let [long_phase, short_phase, _] = kind.phases;
        match self {
            Self::Phases => {
                let phase = PHASES.iter().position(|(b, e)| (*b..*e).contains(&at_s));
                phase.map_or(1.0, |p| kind.phases[p])
            }
            Self::Alternation if at_s < ALTERNATION_FROM_S => 1.0,
            Self::Alternation => {
                let phase = ((at_s - ALTERNATION_FROM_S) / ALTERNATION_PHASE_S) as u64;
                if phase.is_multiple_of(2) {
                    long_phase
                } else {
                    short_phase
                }
            }
            Self::Wave => 1.0 + WAVE_SHARE * (TAU * at_s / WAVE_PERIOD_S).sin(),
            Self::Spike if (SPIKE.0..SPIKE.1).contains(&at_s) => SPIKE_FACTOR,
            Self::Spike | Self::Noise => 1.0,
        }
    }

    /// Upper bound of [`Self::factor`] over the day.
    pub(super) fn max_factor(self, kind: &RequestKind) -> f64 {
        match self {
            Self::Phases | Self::Alternation => kind.phases.iter().copied().fold(1.0, f64::max),
            Self::Wave => 1.0 + WAVE_SHARE,
            Self::Spike => SPIKE_FACTOR,
            Self::Noise => 1.0,
        }
    }
}

impl fmt::Display for DemandShape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for DemandShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names: Vec<&str> = Self::ALL.iter().map(|s| s.name()).collect();
        let found = Self::ALL.into_iter().find(|s| s.name() == text);
        found.ok_or_else(|| format!("unknown shape {text:?}; one of {}", names.join(", ")))
    }
}
