//! The HTTP interface for operators (`/admin/v1`).

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::BurnReply;
use azuresaddle_standin::cluster::{ADMIN_TOKEN, Cluster, ClusterSpec, MemoryHosts};
use azuresaddle_standin::engine::EngineOptions;
use azuresaddle_standin::load::{Caller, CallerRequest, OutcomeKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};

async fn cluster(nodes: usize) -> Cluster<MemoryHosts> {
    let spec = ClusterSpec::uniform(nodes, 2, 0, &EngineOptions::default());
    let cluster = Cluster::open(MemoryHosts::default(), spec, |_| {})
        .await
        .expect("it starts");
    while !cluster.is_settled() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster
}

async fn operator_request(
    cluster: &Cluster<MemoryHosts>,
    token: &str,
    method: Method,
    path: &str,
    body: String,
) -> (StatusCode, Bytes) {
    let node = &cluster.nodes.values().next().expect("a node").node;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {token}"))
        .body(Full::from(body))
        .expect("headers are valid");
    let client = cluster.client("operator");
    let sent = client
        .send(node.admin_addr(), req, Duration::from_secs(20))
        .await;
    let resp = sent.expect("a response");
    let status = resp.status();
    (
        status,
        resp.into_body().collect().await.expect("a body").to_bytes(),
    )
}

#[tokio::test(start_paused = true)]
async fn a_wrong_token_is_refused() {
    let cluster = cluster(1).await;
    for path in [
        "/admin/v1/rules",
        "/admin/v1/hosts",
        "/admin/v1/pools",
        "/admin/v1/burn",
    ] {
        for token in ["", "wrong", "stand-in-toke", "stand-in-token-"] {
            let (status, _) =
                operator_request(&cluster, token, Method::GET, path, String::new()).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path} {token}");
        }
        let (status, _) =
            operator_request(&cluster, ADMIN_TOKEN, Method::GET, path, String::new()).await;
        assert_eq!(status, StatusCode::OK, "{path}");
    }
}

#[tokio::test(start_paused = true)]
async fn rejected_changes_leave_the_rules_unchanged() {
    let cluster = cluster(1).await;
    let path = "/admin/v1/rules";
    let put = |base: u64, rules: &str| {
        let body = format!(r#"{{"base": {base}, "document": {{"rules": {rules}}}}}"#);
        operator_request(&cluster, ADMIN_TOKEN, Method::PUT, path, body)
    };
    assert_eq!(put(0, r#"[{"name": "x"}]"#).await.0, StatusCode::OK);
    assert_eq!(put(0, r#"[{"name": "y"}]"#).await.0, StatusCode::CONFLICT);
    assert_eq!(
        put(1, r#"[{"name": ""}]"#).await.0,
        StatusCode::UNPROCESSABLE_ENTITY
    );
    assert_eq!(
        put(1, r#"[{"name": "x", "z": 1}]"#).await.0,
        StatusCode::BAD_REQUEST
    );
    let huge = format!(r#"[{{"name": "{}"}}]"#, "x".repeat(1 << 20));
    assert_eq!(put(1, &huge).await.0, StatusCode::PAYLOAD_TOO_LARGE);
    let stop = "/admin/v1/hosts/nobody/stop";
    let (status, _) =
        operator_request(&cluster, ADMIN_TOKEN, Method::PUT, stop, String::new()).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (_, body) = operator_request(&cluster, ADMIN_TOKEN, Method::GET, path, String::new()).await;
    let record: serde_json::Value = serde_json::from_slice(&body).expect("a record");
    assert_eq!(record["version"], 1);
}

fn request(seed: u64, deadline_s: u64, max_tokens: u64) -> CallerRequest {
    CallerRequest {
        model: Model::new("m"),
        prompt_tokens: 1_000,
        seed,
        max_tokens,
        kind: String::new(),
        deadline: Duration::from_secs(deadline_s),
        idempotent: true,
        key: None,
    }
}

/// Seven requests are answered completely and three cannot complete by their deadline, spread over two nodes.
#[tokio::test(start_paused = true)]
async fn burn_counts_each_missed_deadline_of_all_nodes_once() {
    let cluster = cluster(2).await;
    let seeds = cluster.seeds();
    let mut missed = 0;
    for n in 0..10 {
        let via = vec![seeds[n as usize % 2]];
        let http = cluster.client("caller");
        let mut caller = Caller::new(http, ClientAccount::new("a"), via);
        let late = n % 3 == 0 && n > 0;
        let request = if late {
            request(n, 1, 90_000)
        } else {
            request(n, 30, 50)
        };
        let outcome = caller.run(&request).await;
        assert_eq!(outcome.kind != OutcomeKind::Whole, late, "{outcome:?}");
        missed += u64::from(late);
    }
    let path = "/admin/v1/burn";
    let (_, body) = operator_request(&cluster, ADMIN_TOKEN, Method::GET, path, String::new()).await;
    let burn: BurnReply = serde_json::from_slice(&body).expect("counts");
    assert!(burn.missing.is_empty());
    assert_eq!(burn.counts.rows.len(), 1);
    for counts in &burn.counts.rows[0].windows {
        assert_eq!(counts.requests, 10);
        assert_eq!(counts.deadline_missed, missed);
        assert_eq!(counts.unanswered, missed);
    }
    assert_eq!(burn.counts.rows[0].histogram().len(), 10);
}
