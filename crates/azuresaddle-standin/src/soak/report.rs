//! Results of a soak.

use std::collections::BTreeMap;
use std::fmt;

/// Counts of a soak and every violated guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of requests by status or failure, and of other events by name.
    pub ends: BTreeMap<String, u64>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Counts a request or another event.
    pub(super) fn count(&mut self, end: &str) {
        *self.ends.entry(end.to_owned()).or_default() += 1;
    }

    /// Returns whether no guarantee was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} faults", self.seed, self.faults.len())?;
        for (end, count) in &self.ends {
            writeln!(f, "  {count:>6} {end}")?;
        }
        if !self.passed() {
            for fault in &self.faults {
                writeln!(f, "  fault {fault}")?;
            }
        }
        for violation in &self.violations {
            writeln!(f, "  BROKEN {violation}")?;
        }
        Ok(())
    }
}
