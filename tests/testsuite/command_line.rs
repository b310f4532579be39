//! The command line: help, validation of settings, exit codes.

use std::process::{Command, Output};

fn run_azuresaddle(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_azuresaddle"))
        .args(args)
        .env_clear()
        .env("COLUMNS", "100")
        .output()
        .expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_documents_every_flag() {
    for command in [
        "node", "ask", "burn", "pools", "hosts", "rules", "losses", "serve",
    ] {
        let output = run_azuresaddle(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0));
        insta::assert_snapshot!(format!("help_{command}"), stdout(&output));
    }
}

#[test]
fn setting_errors_name_the_flag_the_value_and_what_is_accepted() {
    let base = ["node", "--name", "n1", "--domain", "d1"];
    let cases: [&[&str]; 9] = [
        &["--listen", "localhost:7000"],
        &["--listen", "7000"],
        &["--admin-listen", "192.0.2.1:7002"],
        &["--max-body-bytes", "lots"],
        &["--max-body-bytes", "10"],
        &["--max-buffered-bytes", "1024"],
        &["--lease-ttl-ms", "500"],
        &["--store-timeout-ms", "2000"],
        &["--initial-prefill-rate", "-1"],
    ];
    let mut errors = Vec::new();
    for case in cases {
        let args: Vec<&str> = base.iter().chain(case).copied().collect();
        let output = run_azuresaddle(&args);
        assert_eq!(output.status.code(), Some(2), "{case:?}");
        errors.push(stderr(&output));
    }
    let output = run_azuresaddle(&["node", "--domain", "d1"]);
    assert_eq!(output.status.code(), Some(2));
    errors.push(stderr(&output));
    insta::assert_snapshot!(errors.concat());
}

#[test]
fn print_settings_shows_where_each_comes_from() {
    let output = Command::new(env!("CARGO_BIN_EXE_azuresaddle"))
        .args([
            "node",
            "--print-settings",
            "--name",
            "n1",
            "--admin-token",
            "secret",
        ])
        .env_clear()
        .env("AZURESADDLE_DOMAIN", "d1")
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(stdout(&output));
}

#[test]
fn an_unreachable_node_is_an_error() {
    let output = run_azuresaddle(&["pools", "--admin", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_missing_rules_file_is_an_input_error() {
    let output = run_azuresaddle(&["rules", "check", "no-such-file.json"]);
    assert_eq!(output.status.code(), Some(2));
}
