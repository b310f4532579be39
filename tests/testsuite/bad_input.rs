//! Invalid requests get a clear error and are not executed.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_standin::cluster::{Cluster, ClusterSpec, HostNetworks, MemoryHosts};
use azuresaddle_standin::engine::EngineOptions;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn cluster() -> Cluster<MemoryHosts> {
    let spec = ClusterSpec::uniform(1, 2, 1, &EngineOptions::default());
    let tune = |settings: &mut azuresaddle_node::Settings| settings.max_body_bytes = 8 << 20;
    let cluster = Cluster::open(MemoryHosts::default(), spec, tune)
        .await
        .expect("it starts");
    while !cluster.is_settled() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster
}

fn generate_request(body: &str) -> Request<Full<bytes::Bytes>> {
    Request::post("/v1/generate")
        .header("x-client-account", "a")
        .body(Full::from(body.to_owned()))
        .expect("headers are valid")
}

fn generate_request_with_header(name: &str, value: &str) -> Request<Full<bytes::Bytes>> {
    let mut req = generate_request(r#"{"model": "m", "prompt": "x"}"#);
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).expect("a name");
    req.headers_mut()
        .insert(name, value.parse().expect("a value"));
    req
}

async fn ask(cluster: &Cluster<MemoryHosts>, req: Request<Full<bytes::Bytes>>) -> String {
    let client = cluster.client("caller");
    let resp = client
        .send(cluster.seeds()[0], req, Duration::from_secs(60))
        .await;
    let resp = resp.expect("a response");
    let status = resp.status().as_u16();
    let bytes = resp.into_body().collect().await.expect("a body").to_bytes();
    let problem: Problem = serde_json::from_slice(&bytes).expect("a problem body");
    assert_eq!(problem.verdict, Verdict::NotRun, "{problem:?}");
    format!("{status} {}: {}", problem.title, problem.detail)
}

#[tokio::test(start_paused = true)]
async fn problems_say_what_is_wrong() {
    let cluster = cluster().await;
    let mut no_account = generate_request(r#"{"model": "m", "prompt": "x"}"#);
    no_account.headers_mut().remove("x-client-account");
    let long = "x".repeat(4 * 900_000);
    let huge = "x".repeat(9 << 20);
    let mut answers = Vec::new();
    for req in [
        generate_request("{"),
        generate_request(r#"{"model": "m"}"#),
        generate_request(r#"{"model": "m", "prompt": "x", "color": 1}"#),
        generate_request(r#"{"model": "nope", "prompt": "x"}"#),
        generate_request(r#"{"model": "m", "prompt": ""}"#),
        generate_request(r#"{"model": "m", "prompt": "x", "max-tokens": 0}"#),
        generate_request(&format!(r#"{{"model": "m", "prompt": "{long}"}}"#)),
        generate_request(&huge),
        no_account,
        generate_request_with_header("x-deadline-ms", "soon"),
        generate_request_with_header("x-deadline-ms", "0"),
        generate_request_with_header("x-idempotent", "perhaps"),
        generate_request_with_header("x-request-kind", &"k".repeat(300)),
        Request::get("/v2/nothing")
            .body(Full::default())
            .expect("valid"),
        Request::post("/v1/call/nope/x")
            .header("x-client-account", "a")
            .body(Full::default())
            .expect("valid"),
        Request::get("/v1/answers/xyz")
            .header("x-client-account", "a")
            .body(Full::default())
            .expect("valid"),
    ] {
        answers.push(ask(&cluster, req).await);
    }
    insta::assert_snapshot!(answers.join("\n"));
    let executions: u64 = cluster
        .engines
        .values()
        .flat_map(|e| e.server.executions().into_values())
        .sum();
    assert_eq!(executions, 0, "nothing ran");
}

/// Sends raw bytes to a node and reads until the connection closes.
async fn send_raw(cluster: &Cluster<MemoryHosts>, bytes: &[u8]) -> String {
    let (net, _) = cluster.networks.host_network("caller");
    let mut stream = net.connect(cluster.seeds()[0]).await.expect("connects");
    stream.write_all(bytes).await.expect("writes");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(60), read).await;
    read.expect("the node ends the connection").expect("text");
    answer
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_request_head_times_out() {
    let cluster = cluster().await;
    let answer = send_raw(&cluster, b"POST /v1/generate HTTP/1.1\r\nhost: x\r\n").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_is_answered_in_time() {
    let cluster = cluster().await;
    let head = b"POST /v1/generate HTTP/1.1\r\nhost: x\r\nx-client-account: a\r\n\
                 connection: close\r\ncontent-length: 100\r\n\r\n{";
    let answer = send_raw(&cluster, head).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn oversize_headers_are_refused() {
    let cluster = cluster().await;
    let mut head = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-long: ".to_vec();
    head.extend(vec![b'a'; 40 << 10]);
    head.extend(b"\r\n\r\n");
    let answer = send_raw(&cluster, &head).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
}
