//! The system under test and its callers.

mod hosts;
mod operators;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_standin::cluster::{Cluster, ClusterSpec, HostSpec, MemoryHosts};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use requests::call_executions;

use super::trace::{LateStart, RequestEnd, RulesObservation, Trace};

/// Interval at which the nodes' versions of the rules are recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a leaving target must get no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Time for which a node must have been reachable before the checker expects current rules from it.
const MIN_REACHABLE_TIME: Duration = Duration::from_secs(4);

/// Longest wait at the end for requests to finish and memory to be released.
const FINISH_TIMEOUT: Duration = Duration::from_secs(120);

/// A request that has not ended.
struct RunningRequest {
    task: JoinHandle<(RequestEnd, Duration)>,
    deadline: Duration,
    digest: Option<u64>,
    once: bool,
}

/// A target that was told to leave.
struct LeavingTarget {
    since: Instant,
    /// Requests that it had begun when the grace period ended; `None` until then.
    starts: Option<u64>,
}

/// The system under test.
pub(super) struct World {
    pub(super) cluster: Cluster<MemoryHosts>,
    running: BTreeMap<String, RunningRequest>,
    /// Digest of each ended request's prompt, by which engines count executions; `None` for calls.
    digests: BTreeMap<String, Option<u64>>,
    killed: BTreeMap<String, HostSpec>,
    /// Hosts that cannot be reached.
    unreachable: BTreeSet<String>,
    /// When each host became reachable again.
    reachable_since: BTreeMap<String, Instant>,
    leaving: BTreeMap<String, LeavingTarget>,
    restarts: BTreeMap<String, u32>,
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
            restarts: BTreeMap::new(),
            started: Instant::now(),
            trace: Trace::default(),
        };
        for _ in 0..200 {
            if world.cluster.is_settled() {
                return world;
            }
            world.advance(SAMPLE_INTERVAL).await;
        }
        panic!("the cluster did not settle");
    }

    /// Lets time pass and records the nodes' versions of the rules.
    pub(super) async fn advance(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let next = (Instant::now() + SAMPLE_INTERVAL).min(until);
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
            let run = self.restarts.get(name).copied().unwrap_or(0);
            self.trace.rules.push(RulesObservation {
                at: now - self.started,
                node: format!("{name} (run {run})"),
                version: host.node.snapshot().rules.version.0,
                reachable: !self.unreachable.contains(name) && now - since > MIN_REACHABLE_TIME,
            });
        }
        for (name, leaving) in &mut self.leaving {
            if leaving.starts.is_none() && now - leaving.since >= LEAVING_GRACE {
                leaving.starts = Some(executions_on(&self.cluster, name));
            }
        }
    }

    /// Ends the run: waits until all requests have ended and all memory is released.
    pub(super) async fn finish(&mut self) {
        let ids: Vec<String> = self.running.keys().cloned().collect();
        for id in ids {
            self.wait(&id).await;
        }
        let until = Instant::now() + FINISH_TIMEOUT;
        while self.cluster.used_tokens() > 0 && Instant::now() < until {
            self.advance(SAMPLE_INTERVAL).await;
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
                None => call_executions(&self.cluster, id),
            };
        }
    }

    /// Records whether a leaving target began requests after its grace period.
    fn end_leaving(&mut self, name: &str) {
        let Some(LeavingTarget {
            starts: Some(before),
            ..
        }) = self.leaving.remove(name)
        else {
            return;
        };
        let starts = executions_on(&self.cluster, name) - before;
        if starts > 0 {
            let target = name.to_owned();
            self.trace.late_starts.push(LateStart { target, starts });
        }
    }
}

fn executions_on(cluster: &Cluster<MemoryHosts>, engine: &str) -> u64 {
    let host = cluster.engines.get(&HostName::new(engine));
    host.map_or(0, |e| e.server.executions().values().sum())
}
