//! The day files in `deploy/days/`. A day is a schedule of load and faults; each file states a pattern that a design
//! decision addresses.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde::Deserialize;

/// Placeholders that stand for the names of a deployment.
const PLACEHOLDERS: [&str; 8] = ["@c0", "@c1", "@c2", "@c3", "@s0", "@s1", "@z0", "@z1"];

/// Kinds of disruptions and planned work that a day may contain.
const KINDS: [&str; 35] = [
    "burst",
    "hot_key",
    "retry_abuse",
    "give_up",
    "srv_crash",
    "srv_grey",
    "srv_slow",
    "srv_cut",
    "release",
    "scale_in",
    "scale_out",
    "answer_lost",
    "garble",
    "node_kill",
    "node_freeze",
    "node_slow",
    "node_cut",
    "roll_term",
    "herd_kill",
    "after_ack_kill",
    "evacuate",
    "cold_return",
    "replace_core",
    "replace_with_reuse",
    "reset_conns",
    "core_cut",
    "lossy",
    "platform_down",
    "platform_slow",
    "platform_compact",
    "config_change",
    "config_storm",
    "revoke",
    "hup",
    "poison",
];

/// The one day that is kept unchanged as its users supplied it, and the only service name of their deployment in it.
const NAMED_SERVICE_EXCEPTION: (&str, &str) = ("deadly", "visit-summary");

/// A day file: a list of days, or a single day.
#[derive(Deserialize)]
#[serde(untagged)]
enum File {
    List(List),
    Single(Day),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    day: Vec<Day>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Day {
    name: String,
    #[serde(default)]
    plan: Vec<Entry>,
    faults: Vec<Entry>,
    /// Whether hunts keep the times of the entries.
    #[serde(default, rename = "timing")]
    _timing: Option<toml::Table>,
    #[serde(default)]
    closing: Option<toml::Table>,
}

#[derive(Deserialize)]
struct Entry {
    at: f64,
    kind: String,
    class: Option<String>,
    service: Option<String>,
    zone: Option<String>,
}

fn days() -> Vec<(PathBuf, Day)> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/days");
    let paths = std::fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).unwrap();
        let file: File = toml::from_str(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        let days = match file {
            File::List(list) => list.day,
            File::Single(day) => vec![day],
        };
        let days = days.into_iter();
        days.map(move |day| (path.clone(), day)).collect::<Vec<_>>()
    };
    paths.flat_map(read).collect()
}

#[test]
fn each_day_is_named_after_its_file() {
    let mut names = BTreeSet::new();
    for (path, day) in days() {
        assert_eq!(path.file_stem().unwrap(), day.name.as_str());
        assert!(names.insert(day.name.clone()), "{} twice", day.name);
        assert!(day.closing.is_none_or(|c| c.contains_key("kind")));
    }
    assert!(names.len() >= 10);
}

#[test]
fn entries_have_a_known_kind_and_name_no_deployment() {
    for (path, day) in days() {
        assert!(!day.faults.is_empty(), "{path:?}");
        for entry in day.plan.iter().chain(&day.faults) {
            assert!(
                KINDS.contains(&entry.kind.as_str()),
                "{path:?}: {}",
                entry.kind
            );
            assert!((0.0..34.0).contains(&entry.at), "{path:?}: at {}", entry.at);
            let named = [&entry.class, &entry.service, &entry.zone];
            for name in named.into_iter().flatten() {
                let is_placeholder = PLACEHOLDERS.contains(&name.as_str());
                assert!(
                    is_placeholder || (day.name.as_str(), name.as_str()) == NAMED_SERVICE_EXCEPTION,
                    "{path:?}: {name}"
                );
            }
        }
    }
}
