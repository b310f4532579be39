//! Tests of which headers are forwarded to targets, and of the parts of prompts that they name.

use azuresaddle_core::prelude::*;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};

use crate::forward::head::{RequestHead, prompt_parts_of};

fn map(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    fields
        .iter()
        .map(|(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v)))
        .collect()
}

#[test]
fn hop_by_hop_authorization_and_node_headers_are_removed() {
    let fields = map(&[
        ("host", "desk.example"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("authorization", "Token k"),
        ("azuresaddle-tenant", "forged"),
        ("azuresaddle-expected-instance", "forged"),
        ("azuresaddle-helpers", "10.0.0.1:80"),
        ("azuresaddle-token-usage", "10,20"),
        ("last-event-id", "12"),
        ("x-other", "kept"),
    ]);
    let id = HeaderValue::from_static("a1");
    let head = RequestHead::new(Method::POST, Uri::from_static("/a/b?c=%20d"), fields, id);
    let mut names: Vec<&str> = head.headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["azuresaddle-token-usage", "host", "x-other"]);
    assert_eq!(head.last_event_id, Some(HeaderValue::from_static("12")));
    assert_eq!(head.uri, "/a/b?c=%20d");
}

/// Guards against a part of prompts that is never kept from targets since it stands behind many others.
#[test]
fn all_shared_parts_of_a_prompt_are_identified() {
    let ids: Vec<String> = (0..300).map(|n| format!("{n:x}:40")).collect();
    let mut fields = HeaderMap::new();
    let value = HeaderValue::from_str(&ids.join(",")).unwrap();
    fields.insert("azuresaddle-prefix-hash", value);
    let id = HeaderValue::from_static("a1");
    let head = RequestHead::new(Method::POST, Uri::from_static("/ask"), fields, id);
    let parts = prompt_parts_of(&head, "llm");
    assert_eq!(parts.len(), 299);
    for n in [0, 150, 298] {
        let part = Fingerprint::of_prompt_part("llm", &format!("{n:x}"));
        assert!(parts.contains(&part), "part {n}");
    }
}
