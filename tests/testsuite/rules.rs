//! Rules: the first matching rule applies, and documents are validated before they are accepted.

use azuresaddle_core::rules::{RequestFacts, RulesDocument, check};

const RULES: &str = r#"{"rules": [
    {"name": "quick", "when": {"client-account": ["a"], "prompt-tokens": {"max": 8192}},
     "then": {"priority": 2}},
    {"name": "once", "when": {"idempotent": false}, "then": {"deadline-ms": 5000}},
    {"name": "rest"}
]}"#;

fn document(json: &str) -> RulesDocument {
    serde_json::from_str(json).expect("the rules parse")
}

fn facts(json: &str) -> RequestFacts {
    serde_json::from_str(json).expect("the facts parse")
}

#[test]
fn the_first_match_decides() {
    let document = document(RULES);
    let requests = [
        r#"{"client-account": "a", "model": "m", "prompt-tokens": 100, "failure-domain": "d"}"#,
        r#"{"client-account": "a", "model": "m", "prompt-tokens": 8192, "failure-domain": "d"}"#,
        r#"{"client-account": "b", "model": "m", "idempotent": false, "failure-domain": "d"}"#,
    ];
    let matched = requests.map(|request| {
        let facts = facts(request);
        document.first_match(&facts).map(|rule| rule.name.clone())
    });
    assert_eq!(
        matched.map(Option::unwrap_or_default),
        ["quick", "rest", "once"]
    );
    insta::assert_json_snapshot!(document.explain(&facts(requests[2])));
}

#[test]
fn the_check_reports_invalid_rules() {
    let report = check(&document(
        r#"{"rules": [
            {"name": "all"},
            {"name": "all", "when": {"prompt-tokens": {"min": 5, "max": 5}},
             "then": {"priority": 9, "weight": 0, "deadline-ms": 0}},
            {"name": "", "then": {"worth": -1, "limits": {"max-in-flight": 0,
             "max-tokens-per-second": -5}}}
        ], "stops": [{"host": "e1"}, {"host": "e1"}]}"#,
    ));
    assert!(!report.is_acceptable());
    let findings: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(findings.join("\n"));
}

#[test]
fn unknown_fields_are_refused() {
    for json in [
        r#"{"rulez": []}"#,
        r#"{"rules": [{"name": "x", "when": {"colour": ["red"]}}]}"#,
        r#"{"rules": [{"name": "x", "then": {"prioritee": 1}}]}"#,
    ] {
        assert!(
            serde_json::from_str::<RulesDocument>(json).is_err(),
            "{json}"
        );
    }
}

#[test]
fn unreachable_rules_are_accepted_with_a_warning() {
    let report = check(&document(
        r#"{"rules": [{"name": "all"}, {"name": "never"}]}"#,
    ));
    assert!(report.is_acceptable());
    assert_eq!(report.findings.len(), 1);
}
