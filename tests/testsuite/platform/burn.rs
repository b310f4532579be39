//! The `burn` command: counts of the platform's requests that missed their service level.

use std::process::Command;

use azuresaddle_standin::platform::TargetFault;

use super::support::{dir, fleet, plain, program, status, stream};

#[tokio::test(flavor = "multi_thread")]
async fn burn_counts_plain_requests_and_streams_of_all_nodes() {
    let fleet = fleet("burn", 2).await;
    for node in &fleet.nodes {
        assert_eq!(status(node, &plain("/note/1")).await, 200);
        assert_eq!(status(node, &stream("/ask/1", 1000, 2)).await, 200);
    }
    for target in fleet.platform.plain.iter().chain(&fleet.platform.engines) {
        target.set_fault(TargetFault::DeclinesAll);
    }
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 503);
    assert_eq!(
        status(&fleet.nodes[0], &stream("/ask-once/1", 1000, 2)).await,
        503
    );

    let plot = dir("burn").join("burn.svg");
    let mut command = Command::new(program());
    command.arg("burn").arg("--json").arg("--plot").arg(&plot);
    for node in &fleet.nodes {
        command.arg("--node").arg(node.metrics_addr().to_string());
    }
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(reply["missing"].as_array().unwrap().len(), 0);
    let counts = |route: &str, what: &str| -> u64 {
        let rows = reply["counts"]["rows"].as_array().unwrap();
        let of = rows.iter().filter(|r| r["rule"].as_str() == Some(route));
        of.map(|r| r["windows"][0][what].as_u64().unwrap()).sum()
    };
    for (route, requests, refused) in [("r-note-", 2, 0), ("r-ask-", 2, 0), ("r-post-", 1, 1)] {
        assert_eq!(counts(route, "requests"), requests, "{route}: {reply}");
        assert_eq!(counts(route, "refused"), refused, "{route}");
        assert_eq!(counts(route, "unanswered"), refused, "{route}");
    }
    assert_eq!(counts("r-ask-once-", "refused"), 1);
    let svg = std::fs::read_to_string(plot).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("advisers"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_does_not_answer_is_named() {
    let output = Command::new(program())
        .args(["burn", "--node", "127.0.0.1:1"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("node 127.0.0.1:1 did not answer"),
        "{output:?}"
    );
}
