//! Counts of sends to a target by outcome.

use serde::{Deserialize, Serialize};

/// Outcome of one send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target answered, in about its usual time.
    Answered,
    /// No connection to the target could be opened.
    NoConnection,
    /// The target did not answer in time, or the connection broke before its answer.
    NoAnswer,
    /// The target answered with a server error of its own.
    ServerError,
    /// The target refused the request without running it.
    Refused,
    /// The target answered, in over four times its usual time.
    Slow,
}

/// Sends of one node to one target, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// All sends with a known outcome.
    pub sends: u16,
    /// Sends for which no connection could be opened.
    pub no_connection: u16,
    /// Sends without an answer in time.
    pub no_answer: u16,
    /// Server errors of the target.
    pub server_errors: u16,
    /// Refusals.
    pub refused: u16,
    /// Slow answers.
    pub slow: u16,
}

impl SendCounts {
    /// Counts one send.
    pub fn record(&mut self, outcome: SendOutcome) {
        self.sends = self.sends.saturating_add(1);
        let kind = match outcome {
            SendOutcome::Answered => return,
            SendOutcome::NoConnection => &mut self.no_connection,
            SendOutcome::NoAnswer => &mut self.no_answer,
            SendOutcome::ServerError => &mut self.server_errors,
            SendOutcome::Refused => &mut self.refused,
            SendOutcome::Slow => &mut self.slow,
        };
        *kind = kind.saturating_add(1);
    }

    /// Sends that count against the target: no connection, or no answer.
    pub fn failures(&self) -> u32 {
        u32::from(self.no_connection) + u32::from(self.no_answer)
    }

    /// Sends to which the target responded in some way.
    pub fn responses(&self) -> u32 {
        u32::from(self.sends).saturating_sub(self.failures())
    }

    /// Adds other sends.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u16::saturating_add);
    }

    /// Merges counts of the same sends, of which the later ones are the larger ones. Returns whether any count grew.
    pub fn raise_to(&mut self, other: &Self) -> bool {
        let before = *self;
        self.combine(other, u16::max);
        *self != before
    }

    fn combine(&mut self, other: &Self, f: impl Fn(u16, u16) -> u16) {
        *self = Self {
            sends: f(self.sends, other.sends),
            no_connection: f(self.no_connection, other.no_connection),
            no_answer: f(self.no_answer, other.no_answer),
            server_errors: f(self.server_errors, other.server_errors),
            refused: f(self.refused, other.refused),
            slow: f(self.slow, other.slow),
        };
    }
}
