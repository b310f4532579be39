//! What operators can diagnose: the cause of a failed request from the logs alone, metrics, and the commands that check
//! files.

use std::path::Path;
use std::time::Duration;

use azuresaddle_standin::platform::{CallerError, Signals, TargetFault};

use super::support::{ask, fleet, plain, program, status, stream, trace};

/// Waits until log lines are in the file; a separate thread writes them.
async fn wait_for_log_writer() {
    tokio::time::sleep(Duration::from_millis(300)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request() {
    let fleet = fleet("explain-refused", 1).await;
    for engine in &fleet.platform.engines {
        engine.set_fault(TargetFault::DeclinesAll);
    }
    let asked = stream("/ask/1", 1000, 2);
    assert_eq!(status(&fleet.nodes[0], &asked).await, 503);
    wait_for_log_writer().await;
    let history = trace(&fleet, &asked.attempt);
    assert!(history.contains("placed"), "{history}");
    assert!(history.contains("failure=declined with 503"), "{history}");
    assert!(history.contains("runs=0"), "{history}");
}

/// Guards against a rejection that does not tell whether the caller is at fault or the node has an old configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_request() {
    let fleet = fleet("explain-rejected", 2).await;
    let asked = plain("/nowhere/1");
    assert_eq!(status(&fleet.nodes[0], &asked).await, 404);
    wait_for_log_writer().await;
    let history = trace(&fleet, &asked.attempt);
    let version = fleet.platform.configuration.version;
    assert!(
        history.contains(&format!("configuration={version} ")),
        "{history}"
    );
    assert!(history.contains("control_age_ms="), "{history}");
    assert!(history.contains("store_age_ms="), "{history}");
    let metrics = fleet.nodes[0].metrics().await.unwrap();
    let newest = format!("azuresaddle_newest_configuration_version {version}");
    for line in [
        newest.as_str(),
        "azuresaddle_control_age_seconds 0.",
        "azuresaddle_store_age_seconds ",
        "azuresaddle_panics_total 0",
    ] {
        assert!(metrics.contains(line), "{line}: {metrics}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_targets_asked_to_back_off() {
    let fleet = fleet("explain-paused", 1).await;
    for target in &fleet.platform.plain {
        target.set_signals(Signals {
            back_off: Some(Duration::from_secs(5)),
            ..Signals::default()
        });
    }
    let asked = plain("/post/1");
    assert_eq!(status(&fleet.nodes[0], &asked).await, 503);
    wait_for_log_writer().await;
    let history = trace(&fleet, &asked.attempt);
    assert!(history.contains("failure=declined with 503"), "{history}");
    assert!(history.contains("retry_in_ms=4"), "{history}");
    let log = fleet.nodes[0].log_text();
    assert!(log.contains("target asks to back off"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_timed_out() {
    let fleet = fleet("explain-silent", 1).await;
    for target in &fleet.platform.plain {
        target.set_fault(TargetFault::Silent);
    }
    let mut asked = plain("/post/1");
    asked.timeout = Duration::from_millis(900);
    // The caller and the node give up at the same time.
    let answer = ask(&fleet.nodes[0], &asked).await;
    assert!(
        !matches!(answer, Ok(ref a) if a.status == 200),
        "{answer:?}"
    );
    wait_for_log_writer().await;
    let history = trace(&fleet, &asked.attempt);
    assert!(
        history.contains("failure=no answer in time") || history.contains("caller left"),
        "{history}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_interrupted_midway() {
    let fleet = fleet("explain-cut", 1).await;
    for engine in &fleet.platform.engines {
        engine.set_fault(TargetFault::AbortsAnswers);
    }
    let asked = stream("/ask-once/1", 1000, 5);
    assert_eq!(
        ask(&fleet.nodes[0], &asked).await,
        Err(CallerError::BrokenOff)
    );
    wait_for_log_writer().await;
    let history = trace(&fleet, &asked.attempt);
    assert!(history.contains("failure=broken"), "{history}");
    assert!(history.contains("last_event=1"), "{history}");
    assert!(history.contains("stream given up"), "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_what_happened() {
    let fleet = fleet("metrics", 1).await;
    for _ in 0..3 {
        assert_eq!(status(&fleet.nodes[0], &plain("/note/1")).await, 200);
    }
    assert_eq!(
        status(&fleet.nodes[0], &stream("/ask/1", 1000, 2)).await,
        200
    );
    let text = fleet.nodes[0].metrics().await.unwrap();
    for expected in [
        "azuresaddle_answers_total{service=\"desk\",status=\"200\"} 3",
        "azuresaddle_first_event_seconds_count{service=\"llm\"} 1",
        "azuresaddle_configuration_version 4",
        "azuresaddle_owner 1",
    ] {
        assert!(text.contains(expected), "{expected} is missing in:\n{text}");
    }
}

#[test]
fn trace_says_when_no_line_names_the_request() {
    let output = std::process::Command::new(program())
        .args(["trace", "abc"])
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("README.md"))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn check_commands_name_the_invalid_field() {
    let dir = super::support::dir("check");
    let config = dir.join("config.json");
    std::fs::write(
        &config,
        r#"{"version":3,"routes":[{"host":"h","prefix":"/a/"}]}"#,
    )
    .unwrap();
    let settings = dir.join("settings.toml");
    std::fs::write(&settings, "node_name = 3").unwrap();
    for (command, file, field) in [
        ("check-config", &config, "route_type"),
        ("check-settings", &settings, "node_name"),
    ] {
        let output = std::process::Command::new(program())
            .arg(command)
            .arg(file)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(field), "{text}");
    }
}
