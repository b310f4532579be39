//! The loss report: what the logs of all nodes say about each request.

use azuresaddle_core::losses::{LossReport, Reason};

/// A log line of a node about a request that arrived `arrived_ms` after the start of the log.
fn log_line(request: &str, message: &str, arrived_ms: u64, age_ms: u64, more: &str) -> String {
    let at = arrived_ms + age_ms;
    let (seconds, ms) = (at / 1000, at % 1000);
    format!(
        r#"{{"timestamp":"2026-12-01T10:00:{seconds:02}.{ms:03}000Z","level":"INFO","message":"{message}",
"part":"forward","request":"{request}","age_ms":{age_ms}{more}}}"#
    )
    .replace('\n', "")
}

/// The log line of a stream that ended, with the fields that its relay logs.
fn stream_log_line(request: &str, message: &str, first: u64, pause: u64, more: &str) -> String {
    let fields = format!(
        r#","route":"r","prompt_tokens":1000,"first_event_ms":{first},"target_ms":300,
"longest_pause_ms":{pause},"pause_target_ms":200{more}"#
    );
    log_line(request, message, 0, 1500, &fields)
}

fn reason_of(lines: &[String]) -> Reason {
    let report = LossReport::new(lines.iter().map(String::as_str), |_| 1.0);
    let rows = report.rows();
    assert_eq!(rows.len(), 1, "{rows:?}");
    rows[0].reason
}

#[test]
fn each_loss_has_its_reason() {
    let complete =
        |first, pause, more: &str| stream_log_line("1", "stream complete", first, pause, more);
    let placed = log_line(
        "1",
        "placed",
        0,
        5,
        r#","route":"r","prompt_tokens":1000,"waited_ms":5"#,
    );
    let cases = [
        (complete(120, 60, r#","runs":0"#), Reason::OnTime),
        (
            complete(400, 60, r#","queued_ms":250,"expected_ms":90"#),
            Reason::LateInQueue,
        ),
        (
            complete(400, 60, r#","queued_ms":20,"expected_ms":350"#),
            Reason::LateByPlan,
        ),
        (
            complete(400, 60, r#","queued_ms":20,"expected_ms":90"#),
            Reason::LateAtEngine,
        ),
        (complete(120, 300, r#","runs":0"#), Reason::PauseAtEngine),
        (complete(120, 300, r#","runs":1"#), Reason::PauseByFailover),
        (
            stream_log_line("1", "stream given up", 120, 60, r#","runs":2"#),
            Reason::TargetFailed,
        ),
        (placed.clone(), Reason::NodeEnded),
        (
            log_line(
                "1",
                "ended by the stop of the node",
                0,
                90,
                r#","route":"r""#,
            ),
            Reason::NodeEnded,
        ),
    ];
    for (line, reason) in cases {
        assert_eq!(reason_of(std::slice::from_ref(&line)), reason, "{line}");
    }
    let refused = |age| {
        let fields = r#","route":"r","target_ms":300,"runs":0"#;
        log_line("1", "stream refused", 0, age, fields)
    };
    assert_eq!(reason_of(&[refused(10)]), Reason::RefusedAtOnce);
    assert_eq!(reason_of(&[refused(500)]), Reason::RefusedLater);
    let left = log_line("1", "caller left", 0, 90, "");
    assert_eq!(reason_of(&[placed, left.clone()]), Reason::CallerLeft);
    // A caller that closes the connection after a complete answer has not left.
    assert_eq!(reason_of(&[complete(120, 60, ""), left]), Reason::OnTime);
}

#[test]
fn worth_grows_with_the_prompt_up_to_a_bound() {
    let line = |id: &str, tokens: u64| {
        let fields = format!(r#","route":"r","prompt_tokens":{tokens},"target_ms":300"#);
        log_line(id, "stream refused", 0, 1, &fields)
    };
    let mut lines: Vec<String> = (0..18).map(|n| line(&format!("s{n}"), 1000)).collect();
    lines.push(line("large", 41_000));
    lines.push(line("odd", 1000));
    let report = LossReport::new(lines.iter().map(String::as_str), |_| 2.0);
    // The mean prompt has 3,000 tokens: small prompts are worth 0.3 + 0.7 / 3, the large one is capped.
    let expected = 2.0 * (19.0 * (0.3 + 0.7 / 3.0) + 4.0);
    let rows = report.rows();
    assert!((rows[0].worth - expected).abs() < 1e-6, "{rows:?}");
    let classes = report.size_classes();
    assert_eq!(classes[0].count, 2, "a tenth of twenty");
    assert_eq!(classes[1].count, 4, "a fifth of twenty");
}

#[test]
fn seconds_count_by_arrival_and_unparsable_lines_are_skipped() {
    let plain = |id: &str, at, age| {
        let fields = r#","route":"p","status":200,"target_ms":150"#;
        log_line(id, "answered", at, age, fields)
    };
    let lines = [
        "not JSON {".to_owned(),
        r#"{"message":"started","part":"node"}"#.to_owned(),
        // A log collector may put its own timestamp before the JSON object.
        format!("  0.2 n1 {}", plain("a", 200, 20)),
        plain("b", 900, 400),
        plain("c", 2_300, 10),
    ];
    let report = LossReport::new(lines.iter().map(String::as_str), |_| 1.0);
    let seconds = report.seconds();
    let told: Vec<(i64, usize)> = seconds.iter().map(|s| (s.offset_s, s.count)).collect();
    assert_eq!(told, [(0, 2), (2, 1)]);
    assert_eq!(seconds[0].lost.get(&Reason::LateAnswer), Some(&1.0));
    assert!(seconds[1].lost.is_empty());
}

/// Guards against a report that ends at a log line with numbers of any size.
#[test]
fn numbers_of_any_size_in_a_log_are_reported() {
    let most = u64::MAX;
    let line = |message: &str, fields: &str| {
        format!(
            r#"{{"timestamp":"2026-12-01T10:00:00.000Z","message":"{message}","part":"forward",
"request":"{message}","route":"r","age_ms":{most},"target_ms":{most}{fields}}}"#
        )
        .replace('\n', "")
    };
    let lines = [
        line(
            "stream complete",
            &format!(r#","first_event_ms":{most},"queued_ms":{most},"expected_ms":{most}"#),
        ),
        line("stream refused", r#","runs":0"#),
        line("answered", ""),
    ];
    let report = LossReport::new(lines.iter().map(String::as_str), |_| 1.0);
    assert_eq!(report.seconds().iter().map(|s| s.count).sum::<usize>(), 3);
}
