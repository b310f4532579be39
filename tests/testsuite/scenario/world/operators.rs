//! Requests of operators.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_standin::cluster::ADMIN_TOKEN;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};

use super::{SAMPLE_INTERVAL, World};

impl World {
    /// Sends an operator's request; returns the status and the version in the answer, if any.
    pub(in crate::scenario) async fn operator_request(
        &mut self,
        via: Option<&str>,
        method: Method,
        path: &str,
        body: String,
    ) -> (StatusCode, Option<u64>) {
        let call = self.operator_call(via, method, path, body);
        let task = tokio::spawn(call);
        while !task.is_finished() {
            self.advance(SAMPLE_INTERVAL).await;
        }
        let (status, version) = task.await.expect("the operator does not panic");
        self.record_accepted_version(status, version);
        (status, version)
    }

    pub(in crate::scenario) fn record_accepted_version(
        &mut self,
        status: StatusCode,
        version: Option<u64>,
    ) {
        if let (true, Some(version)) = (status.is_success(), version) {
            self.trace.accepted.push((self.started.elapsed(), version));
        }
    }

    pub(in crate::scenario) fn operator_call(
        &self,
        via: Option<&str>,
        method: Method,
        path: &str,
        body: String,
    ) -> impl Future<Output = (StatusCode, Option<u64>)> + Send + 'static {
        let host = match via {
            Some(name) => &self.cluster.nodes[&HostName::new(name)],
            None => self.cluster.nodes.values().next().expect("a node lives"),
        };
        let addr = host.node.admin_addr();
        let client = self.cluster.client("operator");
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
            .body(Full::from(body))
            .expect("headers are valid");
        async move {
            let sent = client.send(addr, req, Duration::from_secs(30)).await;
            let Ok(resp) = sent else {
                return (StatusCode::GATEWAY_TIMEOUT, None);
            };
            let status = resp.status();
            let bytes = resp.into_body().collect().await.map(|b| b.to_bytes());
            let value: serde_json::Value = bytes
                .ok()
                .and_then(|b: Bytes| serde_json::from_slice(&b).ok())
                .unwrap_or_default();
            (status, value["version"].as_u64())
        }
    }
}
