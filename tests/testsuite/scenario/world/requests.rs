//! Requests of callers.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::{HEADER_ACCOUNT, HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY};
use azuresaddle_standin::answer::Answer;
use azuresaddle_standin::cluster::{Cluster, MemoryHosts};
use azuresaddle_standin::load::{Caller, CallerRequest, OutcomeKind, make_prompt};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::time::Instant;

use super::super::trace::{EndedRequest, RequestEnd};
use super::{FINISH_TIMEOUT, RunningRequest, SAMPLE_INTERVAL, World};

impl World {
    pub(in crate::scenario) fn send(
        &mut self,
        id: &str,
        account: &str,
        via: Option<&str>,
        req: CallerRequest,
    ) {
        let prompt = make_prompt(req.prompt_tokens, req.seed);
        let digest = Answer::new(&prompt, req.max_tokens).digest();
        let seeds = self.addresses(via);
        let client = self.cluster.client("caller");
        let (deadline, once) = (req.deadline, !req.idempotent);
        let mut caller = Caller::new(client, ClientAccount::new(account), seeds);
        let task = tokio::spawn(async move {
            let outcome = caller.run(&req).await;
            (end_of(outcome.kind), outcome.total)
        });
        let running = RunningRequest {
            task,
            deadline,
            digest: Some(digest),
            once,
        };
        self.running.insert(id.to_owned(), running);
    }

    /// Calls the plain service once. The body holds the id, by which the service counts executions.
    pub(in crate::scenario) fn call(
        &mut self,
        id: &str,
        account: &str,
        via: Option<&str>,
        deadline: Duration,
        key: Option<&str>,
    ) {
        let addr = self.addresses(via)[0];
        let client = self.cluster.client("caller");
        let body = call_body(id);
        let mut req = Request::post("/v1/call/svc/post")
            .header(HEADER_ACCOUNT, account)
            .header(HEADER_DEADLINE_MS, deadline.as_millis().to_string());
        if let Some(key) = key {
            req = req.header(HEADER_IDEMPOTENCY_KEY, key);
        }
        let req = req.body(Full::from(body)).expect("headers are valid");
        let task = tokio::spawn(async move {
            let started = Instant::now();
            let end = match client.send(addr, req, deadline * 2).await {
                Err(_) => RequestEnd::Failed {
                    problem: "connection-broke".to_owned(),
                    verdict: Verdict::MayHaveRun,
                    retry_after: false,
                },
                Ok(resp) if resp.status().is_success() => RequestEnd::Whole,
                Ok(resp) => {
                    let bytes = resp.into_body().collect().await.expect("a whole body");
                    let problem = serde_json::from_slice(&bytes.to_bytes());
                    failed(problem.expect("a problem body"))
                }
            };
            (end, started.elapsed())
        });
        let running = RunningRequest {
            task,
            deadline,
            digest: None,
            once: true,
        };
        self.running.insert(id.to_owned(), running);
    }

    /// Waits for a request's final answer.
    pub(in crate::scenario) async fn wait(&mut self, id: &str) -> RequestEnd {
        if !self.trace.requests.contains_key(id) {
            let mut running = self
                .running
                .remove(id)
                .unwrap_or_else(|| panic!("no request {id}"));
            let until = Instant::now() + FINISH_TIMEOUT;
            while !running.task.is_finished() && Instant::now() < until {
                self.advance(SAMPLE_INTERVAL).await;
            }
            let (end, took) = (&mut running.task)
                .await
                .expect("the caller does not panic");
            let ended = EndedRequest {
                deadline: running.deadline,
                took,
                end,
                executions: 0,
                once: running.once,
            };
            self.trace.requests.insert(id.to_owned(), ended);
            self.digests.insert(id.to_owned(), running.digest);
        }
        self.trace.requests[id].end.clone()
    }

    /// Disconnects a caller that does not wait for its answer.
    pub(in crate::scenario) fn hang_up(&mut self, id: &str) {
        if let Some(running) = self.running.remove(id) {
            running.task.abort();
        }
    }

    pub(in crate::scenario) fn is_running(&self, id: &str) -> bool {
        self.running.get(id).is_some_and(|r| !r.task.is_finished())
    }

    fn addresses(&self, via: Option<&str>) -> Vec<std::net::SocketAddr> {
        match via {
            Some(name) => vec![self.cluster.nodes[&HostName::new(name)].node.addr()],
            None => self.cluster.seeds(),
        }
    }
}

pub(in crate::scenario) fn call_executions(cluster: &Cluster<MemoryHosts>, id: &str) -> u64 {
    let counts = cluster.services.values().map(|s| s.executions());
    counts.filter_map(|c| c.get(&call_body(id)).copied()).sum()
}

/// Body of a call. Ids that differ only after a dot denote retries of the same call.
fn call_body(id: &str) -> String {
    id.split('.').next().unwrap_or(id).to_owned()
}

fn end_of(kind: OutcomeKind) -> RequestEnd {
    match kind {
        OutcomeKind::Whole => RequestEnd::Whole,
        OutcomeKind::Failed(problem) => failed(problem),
        OutcomeKind::Lost => RequestEnd::Lost,
        OutcomeKind::Crossed => RequestEnd::Crossed,
        OutcomeKind::Doubled => RequestEnd::Doubled,
    }
}

fn failed(problem: Problem) -> RequestEnd {
    RequestEnd::Failed {
        retry_after: problem.retry_after_ms.is_some(),
        problem: format!("{}: {}", problem.title, problem.detail),
        verdict: problem.verdict,
    }
}
