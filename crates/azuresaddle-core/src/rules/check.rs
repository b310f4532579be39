//! Validation of a rules document before it is accepted.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::document::RulesDocument;
use super::rule::Rule;
use super::then::Then;

/// Allowed range of a rule's priority.
const PRIORITY_RANGE: std::ops::RangeInclusive<i8> = -8..=8;

/// Maximum deadline: one day, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum number of rules in a document.
const MAX_RULES: usize = 1000;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is rejected.
    Error,
    /// The document is accepted nevertheless.
    Warning,
}

/// One error or suspicious setting in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Finding {
    /// Whether the finding prevents the document from being accepted.
    pub severity: Severity,
    /// Path of the key, such as `rules[2].then.weight`.
    pub path: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.path, self.message)
    }
}

/// All findings in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CheckReport {
    /// Findings in document order.
    pub findings: Vec<Finding>,
}

impl CheckReport {
    /// Whether the document may be accepted.
    pub fn is_acceptable(&self) -> bool {
        self.findings
            .iter()
            .all(|f| f.severity == Severity::Warning)
    }

    fn error(&mut self, path: String, message: impl Into<String>) {
        self.push(Severity::Error, path, message.into());
    }

    fn warning(&mut self, path: String, message: impl Into<String>) {
        self.push(Severity::Warning, path, message.into());
    }

    fn push(&mut self, severity: Severity, path: String, message: String) {
        self.findings.push(Finding {
            severity,
            path,
            message,
        });
    }
}

/// Validates a parsed document.
pub fn check(document: &RulesDocument) -> CheckReport {
    let mut report = CheckReport::default();
    if document.rules.len() > MAX_RULES {
        report.error("rules".to_owned(), format!("more than {MAX_RULES} rules"));
        return report;
    }
    let mut names = BTreeSet::new();
    for (i, rule) in document.rules.iter().enumerate() {
        check_name(&mut report, i, rule, &mut names);
        check_when(&mut report, i, rule);
        check_then(&mut report, i, &rule.then);
        check_reachable(&mut report, i, document);
    }
    check_stops(&mut report, document);
    report
}

fn check_name<'a>(
    report: &mut CheckReport,
    i: usize,
    rule: &'a Rule,
    names: &mut BTreeSet<&'a str>,
) {
    let path = format!("rules[{i}].name");
    if rule.name.is_empty() {
        report.error(path, "a rule needs a name");
    } else if !names.insert(&rule.name) {
        report.error(path, format!("the name {:?} is taken", rule.name));
    }
}

fn check_when(report: &mut CheckReport, i: usize, rule: &Rule) {
    if rule
        .when
        .prompt_tokens
        .is_some_and(|range| range.is_empty())
    {
        let path = format!("rules[{i}].when.prompt-tokens");
        report.error(path, "the range is empty; max must be above min");
    }
}

fn check_then(report: &mut CheckReport, i: usize, then: &Then) {
    let path = |key: &str| format!("rules[{i}].then.{key}");
    if !PRIORITY_RANGE.contains(&then.priority) {
        report.error(path("priority"), "must be from -8 to 8");
    }
    if then.deadline_ms == 0 || then.deadline_ms > MAX_DEADLINE_MS {
        report.error(
            path("deadline-ms"),
            format!("must be from 1 to {MAX_DEADLINE_MS}"),
        );
    }
    if then.first_token_target_ms > then.deadline_ms {
        report.error(
            path("first-token-target-ms"),
            "must not be above deadline-ms",
        );
    }
    if !(then.weight.is_finite() && then.weight > 0.0) {
        report.error(path("weight"), "must be a number above 0");
    }
    if !(then.worth.is_finite() && then.worth >= 0.0) {
        report.error(path("worth"), "must be a number of at least 0");
    }
    if then.limits.max_in_flight == Some(0) {
        report.error(
            path("limits.max-in-flight"),
            "must be at least 1; use refuse to refuse all",
        );
    }
    let rate = then.limits.max_tokens_per_second;
    if rate.is_some_and(|rate| !(rate.is_finite() && rate > 0.0)) {
        report.error(
            path("limits.max-tokens-per-second"),
            "must be a number above 0",
        );
    }
}

fn check_reachable(report: &mut CheckReport, i: usize, document: &RulesDocument) {
    let when = &document.rules[i].when;
    let earlier = document.rules[..i]
        .iter()
        .find(|rule| rule.when.covers(when));
    if let Some(earlier) = earlier {
        let message = format!(
            "never reached: {:?} matches all that it matches",
            earlier.name
        );
        report.warning(format!("rules[{i}]"), message);
    }
}

fn check_stops(report: &mut CheckReport, document: &RulesDocument) {
    let mut hosts = BTreeSet::new();
    for (i, stop) in document.stops.iter().enumerate() {
        if !hosts.insert(&stop.host) {
            let message = format!("host {:?} has a planned stop already", stop.host.as_str());
            report.error(format!("stops[{i}].host"), message);
        }
    }
}
