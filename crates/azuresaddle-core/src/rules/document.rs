//! The rules document that operators edit.

use serde::{Deserialize, Serialize};

use super::explain::{Explanation, RuleOutcome};
use super::facts::RequestFacts;
use super::rule::Rule;
use super::stop::PlannedStop;
use crate::names::HostName;

/// All rules and planned stops, accepted together under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RulesDocument {
    /// Rules in order; the first that matches a request applies.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Planned stops of hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<PlannedStop>,
}

impl RulesDocument {
    /// The rule that applies to a request, if any matches.
    pub fn first_match(&self, facts: &RequestFacts) -> Option<&Rule> {
        self.rules
            .iter()
            .find(|rule| rule.when.mismatch(facts).is_none())
    }

    /// Explains for each rule whether it matches a request.
    pub fn explain(&self, facts: &RequestFacts) -> Vec<Explanation> {
        let mut decided = false;
        let outcome = |rule: &Rule| {
            if decided {
                return RuleOutcome::NotReached;
            }
            match rule.when.mismatch(facts) {
                Some(mismatch) => RuleOutcome::Mismatched(mismatch),
                None => {
                    decided = true;
                    RuleOutcome::Matched
                }
            }
        };
        let outcomes: Vec<_> = self.rules.iter().map(outcome).collect();
        self.rules
            .iter()
            .zip(outcomes)
            .map(|(rule, outcome)| Explanation {
                rule: rule.name.clone(),
                outcome,
            })
            .collect()
    }

    /// Whether a planned stop of the host has begun.
    pub fn is_stopping(&self, host: &HostName, now_unix_ms: u64) -> bool {
        self.stops
            .iter()
            .any(|stop| stop.host == *host && stop.has_begun(now_unix_ms))
    }
}
