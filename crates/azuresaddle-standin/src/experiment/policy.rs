//! The policies and their names.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use azuresaddle_sched::PoolOptions;

/// A placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// A random engine, on arrival.
    Random,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests, by exact counts.
    LeastOutstanding,
    /// The engine with the smallest backlog of prompt tokens, by exact counts.
    LeastBacklog,
    /// The better of two random engines by a backlog that is half a second old.
    PowerOfTwo,
    /// One queue at the pool's owner, in order of arrival. An engine gets the next request when it is
    /// free.
    Fifo,
    /// `Fifo`, and requests may overtake one that does not fit yet, for which engines are drained.
    Backfill,
    /// `Backfill`, with classes by prompt length and a bound on the engines that run long prefills.
    Classes,
    /// `Classes`, ordered by slack.
    Slack,
    /// `Slack`, with fair sharing among client accounts by weight.
    Fair,
    /// `Fair`, and requests that cannot meet their deadline are refused at once.
    Deadlines,
    /// `Deadlines`, and much slower engines are avoided.
    AvoidSlow,
    /// All mechanisms: `AvoidSlow`, and the next short prefill is sent before the running one ends.
    Full,
}

impl Policy {
    /// All policies: the baselines, then the pool with one more mechanism each.
    pub const ALL: [Self; 13] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::LeastBacklog,
        Self::PowerOfTwo,
        Self::Fifo,
        Self::Backfill,
        Self::Classes,
        Self::Slack,
        Self::Fair,
        Self::Deadlines,
        Self::AvoidSlow,
        Self::Full,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::LeastBacklog => "least-backlog",
            Self::PowerOfTwo => "power-of-two",
            Self::Fifo => "fifo",
            Self::Backfill => "backfill",
            Self::Classes => "classes",
            Self::Slack => "slack",
            Self::Fair => "fair",
            Self::Deadlines => "deadlines",
            Self::AvoidSlow => "avoid-slow",
            Self::Full => "full",
        }
    }

    /// Options of the pool, or `None` for baselines, which have no pool.
    pub fn pool_options(self) -> Option<PoolOptions> {
        if self < Self::Fifo {
            return None;
        }
        let full = PoolOptions::default();
        Some(PoolOptions {
            backfill: self >= Self::Backfill,
            separate_classes: self >= Self::Classes,
            order_by_slack: self >= Self::Slack,
            fair_accounts: self >= Self::Fair,
            check_deadlines: self >= Self::Deadlines,
            avoid_slow: self >= Self::AvoidSlow,
            prefill_lead_time: if self >= Self::Full {
                full.prefill_lead_time
            } else {
                Duration::ZERO
            },
            ..PoolOptions::fifo()
        })
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(|p| p.name()).collect();
            format!("must be one of {}", names.join(", "))
        })
    }
}
