//! The system under test with its callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::{HEADER_ACCOUNT, HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY};
use azuresaddle_standin::answer::Answer;
use azuresaddle_standin::cluster::{ADMIN_TOKEN, Cluster, ClusterSpec, HostSpec, MemoryHosts};
use azuresaddle_standin::load::{Caller, CallerRequest, OutcomeKind, make_prompt};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::trace::{End, Ended, LateStart, SeenRules, Trace};

/// Interval at which the nodes' rules are looked at.
const SAMPLE: Duration = Duration::from_millis(100);

/// Time after which a leaving target must get no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Time for which a node must have been reachable for its rules to be due.
const REACHABLE_FOR: Duration = Duration::from_secs(4);

/// Longest wait for requests and memory at the end.
const FINISH: Duration = Duration::from_secs(120);

/// A request under way.
struct Running {
    task: JoinHandle<(End, Duration)>,
    deadline: Duration,
    digest: Option<u64>,
    once: bool,
}

/// A target that was told to leave.
struct Leaving {
    since: Instant,
    /// Starts counted once it must get no more.
    starts: Option<u64>,
}

/// The system under test.
pub(super) struct World {
    pub(super) cluster: Cluster<MemoryHosts>,
    running: BTreeMap<String, Running>,
    /// Digest of each ended request's prompt; none for calls.
    digests: BTreeMap<String, Option<u64>>,
    killed: BTreeMap<String, HostSpec>,
    /// Nodes that can't be reached, and since when others can be again.
    unreachable: BTreeSet<String>,
    reachable_since: BTreeMap<String, Instant>,
    leaving: BTreeMap<String, Leaving>,
    runs: BTreeMap<String, u32>,
    started: Instant,
    pub(super) trace: Trace,
}

impl World {
    pub(super) async fn open(spec: ClusterSpec) -> Self {
        let cluster = Cluster::open(MemoryHosts::default(), spec, |_| {}).await;
        let mut world = Self {
            cluster: cluster.expect("the cluster starts"),
            running: BTreeMap::new(),
            digests: BTreeMap::new(),
            killed: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            reachable_since: BTreeMap::new(),
            leaving: BTreeMap::new(),
            runs: BTreeMap::new(),
            started: Instant::now(),
            trace: Trace::default(),
        };
        for _ in 0..200 {
            if world.cluster.is_settled() {
                return world;
            }
            world.advance(SAMPLE).await;
        }
        panic!("the cluster did not settle");
    }

    /// Lets time pass and looks at the nodes' rules.
    pub(super) async fn advance(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let next = (Instant::now() + SAMPLE).min(until);
            tokio::time::sleep_until(next).await;
            self.sample();
        }
    }

    fn sample(&mut self) {
        let now = Instant::now();
        for (name, host) in &self.cluster.nodes {
            let name = name.as_str();
            let since = self
                .reachable_since
                .get(name)
                .copied()
                .unwrap_or(self.started);
            let run = self.runs.get(name).copied().unwrap_or(0);
            self.trace.rules.push(SeenRules {
                at: now - self.started,
                node: format!("{name} (run {run})"),
                version: host.node.snapshot().rules.version.0,
                reachable: !self.unreachable.contains(name) && now - since > REACHABLE_FOR,
            });
        }
        for (name, leaving) in &mut self.leaving {
            if leaving.starts.is_none() && now - leaving.since >= LEAVE_TIME {
                leaving.starts = Some(starts_on(&self.cluster, name));
            }
        }
    }

    pub(super) fn send(&mut self, id: &str, account: &str, via: Option<&str>, req: CallerRequest) {
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
        let running = Running {
            task,
            deadline,
            digest: Some(digest),
            once,
        };
        self.running.insert(id.to_owned(), running);
    }

    /// Calls the plain service once; the body is the id, by which the service counts.
    pub(super) fn call(
        &mut self,
        id: &str,
        account: &str,
        via: Option<&str>,
        deadline: Duration,
        key: Option<&str>,
    ) {
        let addr = self.addresses(via)[0];
        let client = self.cluster.client("caller");
        let body = body_of(id);
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
                Err(_) => End::Failed {
                    problem: "connection-broke".to_owned(),
                    verdict: Verdict::MayHaveRun,
                    retry_after: false,
                },
                Ok(resp) if resp.status().is_success() => End::Whole,
                Ok(resp) => {
                    let bytes = resp.into_body().collect().await.expect("a whole body");
                    let problem = serde_json::from_slice(&bytes.to_bytes());
                    failed(problem.expect("a problem body"))
                }
            };
            (end, started.elapsed())
        });
        let running = Running {
            task,
            deadline,
            digest: None,
            once: true,
        };
        self.running.insert(id.to_owned(), running);
    }

    /// Waits for a request's final answer.
    pub(super) async fn wait(&mut self, id: &str) -> End {
        if !self.trace.requests.contains_key(id) {
            let mut running = self
                .running
                .remove(id)
                .unwrap_or_else(|| panic!("no request {id}"));
            let until = Instant::now() + FINISH;
            while !running.task.is_finished() && Instant::now() < until {
                self.advance(SAMPLE).await;
            }
            let (end, took) = (&mut running.task)
                .await
                .expect("the caller does not panic");
            let ended = Ended {
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

    /// A caller goes away without waiting for its answer.
    pub(super) fn hang_up(&mut self, id: &str) {
        if let Some(running) = self.running.remove(id) {
            running.task.abort();
        }
    }

    pub(super) fn is_running(&self, id: &str) -> bool {
        self.running.get(id).is_some_and(|r| !r.task.is_finished())
    }

    /// Ends the run: all requests end, and all memory comes back.
    pub(super) async fn finish(&mut self) {
        let ids: Vec<String> = self.running.keys().cloned().collect();
        for id in ids {
            self.wait(&id).await;
        }
        let until = Instant::now() + FINISH;
        while self.cluster.used_tokens() > 0 && Instant::now() < until {
            self.advance(SAMPLE).await;
        }
        self.trace.memory_left = self.cluster.used_tokens();
        let names: Vec<String> = self.leaving.keys().cloned().collect();
        for name in names {
            self.end_leaving(&name);
        }
        self.count_executions();
    }

    fn count_executions(&mut self) {
        let mut by_digest: BTreeMap<u64, u64> = BTreeMap::new();
        for engine in self.cluster.engines.values() {
            for (digest, count) in engine.server.executions() {
                *by_digest.entry(digest).or_default() += count;
            }
        }
        for (id, request) in &mut self.trace.requests {
            request.executions = match self.digests[id] {
                Some(digest) => by_digest.get(&digest).copied().unwrap_or(0),
                None => calls_run(&self.cluster, id),
            };
        }
    }

    /// Notes whether a leaving target began work after its time.
    fn end_leaving(&mut self, name: &str) {
        let Some(Leaving {
            starts: Some(before),
            ..
        }) = self.leaving.remove(name)
        else {
            return;
        };
        let starts = starts_on(&self.cluster, name) - before;
        if starts > 0 {
            let target = name.to_owned();
            self.trace.late_starts.push(LateStart { target, starts });
        }
    }

    pub(super) fn kill(&mut self, host: &str) {
        let name = HostName::new(host);
        match self.cluster.kill_node(&name) {
            Some(spec) => {
                self.killed.insert(host.to_owned(), spec);
            }
            None => self.cluster.kill_engine(&name),
        }
    }

    pub(super) async fn restart(&mut self, host: &str) {
        if let Some(spec) = self.killed.remove(host) {
            *self.runs.entry(host.to_owned()).or_default() += 1;
            self.reachable_since.insert(host.to_owned(), Instant::now());
            self.cluster
                .restart_node(spec)
                .await
                .expect("the node starts");
        } else {
            let name = HostName::new(host);
            self.cluster
                .restart_engine(&name)
                .await
                .expect("the engine starts");
        }
    }

    pub(super) fn set_frozen(&mut self, host: &str, frozen: bool) {
        let name = HostName::new(host);
        let spawner = match self.cluster.nodes.get(&name) {
            Some(node) => node.spawner.clone(),
            None => self.cluster.engines[&name].spawner.clone(),
        };
        self.set_reachable(host, !frozen);
        if frozen {
            spawner.freeze();
        } else {
            spawner.thaw();
        }
    }

    /// Cuts two hosts off from each other; `all` stands for every other host.
    pub(super) fn set_cut(&mut self, one: &str, other: &str, cut: bool) {
        for other in self.others(one, other) {
            let (a, b) = (self.cluster.places.ip(one), self.cluster.places.ip(&other));
            if cut {
                self.cluster.places.fabric.cut(a, b);
            } else {
                self.cluster.places.fabric.heal(a, b);
            }
        }
        if other == "all" {
            self.set_reachable(one, !cut);
        }
    }

    pub(super) fn silence(&self, one: &str, other: &str) {
        for other in self.others(one, other) {
            let (a, b) = (self.cluster.places.ip(one), self.cluster.places.ip(&other));
            self.cluster.places.fabric.silence(a, b);
        }
    }

    fn others(&self, one: &str, other: &str) -> Vec<String> {
        if other != "all" {
            return vec![other.to_owned()];
        }
        let nodes = self.cluster.nodes.keys();
        let engines = self.cluster.engines.keys();
        let services = self.cluster.services.keys();
        let names = nodes
            .chain(engines)
            .chain(services)
            .map(ToString::to_string);
        let rest = ["store", "hosts"].map(str::to_owned);
        names.chain(rest).filter(|name| name != one).collect()
    }

    fn set_reachable(&mut self, host: &str, reachable: bool) {
        if reachable {
            self.unreachable.remove(host);
            self.reachable_since.insert(host.to_owned(), Instant::now());
        } else {
            self.unreachable.insert(host.to_owned());
        }
    }

    /// Makes an operator's call; returns the status and the version in the answer, if any.
    pub(super) async fn operate(
        &mut self,
        via: Option<&str>,
        method: Method,
        path: &str,
        body: String,
    ) -> (StatusCode, Option<u64>) {
        let call = self.operator_call(via, method, path, body);
        let task = tokio::spawn(call);
        while !task.is_finished() {
            self.advance(SAMPLE).await;
        }
        let (status, version) = task.await.expect("the operator does not panic");
        self.note_accepted(status, version);
        (status, version)
    }

    pub(super) fn note_accepted(&mut self, status: StatusCode, version: Option<u64>) {
        if let (true, Some(version)) = (status.is_success(), version) {
            self.trace.accepted.push((self.started.elapsed(), version));
        }
    }

    pub(super) fn operator_call(
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

    pub(super) fn begin_leaving(&mut self, host: &str) {
        let since = Instant::now();
        if self.cluster.engines.contains_key(&HostName::new(host)) {
            let leaving = Leaving {
                since,
                starts: None,
            };
            self.leaving.insert(host.to_owned(), leaving);
        }
    }

    pub(super) fn cancel_leaving(&mut self, host: &str) {
        self.end_leaving(host);
    }

    /// The engine with the most streams.
    pub(super) fn busiest_engine(&self) -> String {
        let engines = self.cluster.engines.iter();
        let busiest = engines.max_by_key(|(_, host)| host.server.live_streams());
        busiest
            .map(|(name, _)| name.to_string())
            .expect("an engine")
    }

    /// The owner of the first pool, as most nodes know it.
    pub(super) fn owner(&self) -> Option<HostName> {
        let records = self.cluster.nodes.values().flat_map(|host| {
            let owners = host.node.snapshot().owners.clone();
            owners.values().cloned().collect::<Vec<_>>()
        });
        records.max_by_key(|r| r.epoch).map(|r| r.owner)
    }

    fn addresses(&self, via: Option<&str>) -> Vec<std::net::SocketAddr> {
        match via {
            Some(name) => vec![self.cluster.nodes[&HostName::new(name)].node.addr()],
            None => self.cluster.seeds(),
        }
    }
}

fn starts_on(cluster: &Cluster<MemoryHosts>, engine: &str) -> u64 {
    let host = cluster.engines.get(&HostName::new(engine));
    host.map_or(0, |e| e.server.executions().values().sum())
}

fn calls_run(cluster: &Cluster<MemoryHosts>, id: &str) -> u64 {
    let counts = cluster.services.values().map(|s| s.executions());
    counts.filter_map(|c| c.get(&body_of(id)).copied()).sum()
}

/// Body of a call; calls whose ids differ only after a dot are retries of one another.
fn body_of(id: &str) -> String {
    id.split('.').next().unwrap_or(id).to_owned()
}

fn end_of(kind: OutcomeKind) -> End {
    match kind {
        OutcomeKind::Whole => End::Whole,
        OutcomeKind::Failed(problem) => failed(problem),
        OutcomeKind::Lost => End::Lost,
        OutcomeKind::Crossed => End::Crossed,
        OutcomeKind::Doubled => End::Doubled,
    }
}

fn failed(problem: Problem) -> End {
    End::Failed {
        retry_after: problem.retry_after_ms.is_some(),
        problem: format!("{}: {}", problem.title, problem.detail),
        verdict: problem.verdict,
    }
}
