//! The list of known test failures that CI tolerates (`KNOWN-RED.txt`) and the program that reads it.

use std::path::Path;
use std::process::{Command, Output};

/// Writes `text` to a file and runs `.ci/known-red`, the program that reads the list, on it.
fn known_red(name: &str, text: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("azuresaddle-{}-ci", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let list = dir.join(name);
    std::fs::write(&list, text).unwrap();
    let reader = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    Command::new(reader).arg(list).output().unwrap()
}

/// When an entry was cut at its first colon, `platform::x::test` became `platform` and excused every test of that
/// module.
#[test]
fn an_entry_names_exactly_one_test() {
    let list = "# comment\n\nplatform::repeats::a_test: cargo test, seed 3: seen 4 of 5: issue 1\nplain: x";
    let output = known_red("whole.txt", list);
    assert!(output.status.success(), "{output:?}");
    let names = String::from_utf8(output.stdout).unwrap();
    assert_eq!(names, "platform::repeats::a_test\nplain\n");
}

#[test]
fn an_entry_without_a_test_is_an_error() {
    for (name, list) in [
        ("a.txt", "platform::repeats"),
        ("b.txt", "two words: x"),
        ("c.txt", ": x"),
    ] {
        let output = known_red(name, list);
        assert!(!output.status.success(), "{list}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(list), "{text}");
    }
}
