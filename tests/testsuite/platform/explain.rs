//! From a failed request's id to its cause, by the logs alone.

use std::path::Path;
use std::time::Duration;

use azuresaddle_standin::platform::{CallerError, Signals, TargetFault};

use super::support::{ask, fleet, plain, program, status, stream, trace};

/// The log is written by a thread of its own.
async fn settle() {
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
    settle().await;
    let life = trace(&fleet, &asked.attempt);
    assert!(life.contains("placed"), "{life}");
    assert!(life.contains("failure=declined with 503"), "{life}");
    assert!(life.contains("runs=0"), "{life}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_targets_have_asked_for_a_pause() {
    let fleet = fleet("explain-paused", 1).await;
    for target in &fleet.platform.plain {
        target.set_signals(Signals {
            back_off: Some(Duration::from_secs(5)),
            ..Signals::default()
        });
    }
    let asked = plain("/post/1");
    assert_eq!(status(&fleet.nodes[0], &asked).await, 503);
    settle().await;
    let life = trace(&fleet, &asked.attempt);
    assert!(life.contains("failure=declined with 503"), "{life}");
    assert!(life.contains("retry_in_ms=4"), "{life}");
    let log = fleet.nodes[0].log_text();
    assert!(log.contains("target asks to back off"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_nobody_answered_in_time() {
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
    settle().await;
    let life = trace(&fleet, &asked.attempt);
    assert!(
        life.contains("failure=no answer in time") || life.contains("caller left"),
        "{life}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_cut_midway() {
    let fleet = fleet("explain-cut", 1).await;
    for engine in &fleet.platform.engines {
        engine.set_fault(TargetFault::AbortsAnswers);
    }
    let asked = stream("/ask-once/1", 1000, 5);
    assert_eq!(
        ask(&fleet.nodes[0], &asked).await,
        Err(CallerError::BrokenOff)
    );
    settle().await;
    let life = trace(&fleet, &asked.attempt);
    assert!(life.contains("failure=broken"), "{life}");
    assert!(life.contains("last_event=1"), "{life}");
    assert!(life.contains("stream given up"), "{life}");
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
fn files_are_checked_by_field() {
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
