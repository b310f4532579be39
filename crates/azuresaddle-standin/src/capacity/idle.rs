//! Cost of an idle system per node and second.

use std::time::{Duration, Instant as WallInstant};

use anyhow::Result;

use crate::cluster::{Cluster, ClusterSpec, MemoryHosts};
use crate::engine::EngineOptions;

/// Virtual time of the measurement, in seconds.
const MEASUREMENT_S: u64 = 60;

/// Virtual time before the measurement, in which the pools get their owners.
const WARM_UP: Duration = Duration::from_secs(15);

/// Cost of the control plane per node and second, without requests.
#[derive(Clone, Copy, Debug)]
pub struct IdleCost {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Bytes sent over the network: between nodes, and to and from store, host list and engines.
    pub bytes: f64,
    /// Watch calls to the store.
    pub watches: f64,
    /// Lease grants and renewals.
    pub lease_writes: f64,
    /// Read calls to the store.
    pub reads: f64,
    /// Processor time in microseconds, including that of the stand-ins.
    pub cpu_us: f64,
}

/// Measures an idle system in virtual time. As virtual time passes only while there is nothing to
/// do, the elapsed wall-clock time is the processor time.
///
/// # Errors
/// Fails if the system cannot be started.
pub fn measure_idle(nodes: usize, engines: usize) -> Result<IdleCost> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let spec = ClusterSpec::uniform(nodes, engines, 0, &EngineOptions::default());
        let cluster = Cluster::open(MemoryHosts::default(), spec, |_| {}).await?;
        tokio::time::sleep(WARM_UP).await;
        let (before, bytes) = (cluster.store.counts(), cluster.networks.fabric.bytes());
        let started = WallInstant::now();
        tokio::time::sleep(Duration::from_secs(MEASUREMENT_S)).await;
        let cpu = started.elapsed();
        let after = cluster.store.counts();
        let each = |total: u64| total as f64 / nodes as f64 / MEASUREMENT_S as f64;
        Ok(IdleCost {
            nodes,
            engines,
            bytes: each(cluster.networks.fabric.bytes() - bytes),
            watches: each(after.watches - before.watches),
            lease_writes: each(after.lease_writes - before.lease_writes),
            reads: each(after.reads - before.reads),
            cpu_us: cpu.as_secs_f64() * 1e6 / nodes as f64 / MEASUREMENT_S as f64,
        })
    })
}
