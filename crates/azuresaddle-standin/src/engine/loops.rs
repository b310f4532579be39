//! Background loops of the engine: prefills, decode steps and the load report.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::engine::wire::LoadReport;
use tokio::time::Instant;

use super::server::Shared;

/// Starts all background loops.
pub(super) fn spawn_loops(shared: &Arc<Shared>, spawner: &Spawner) {
    let prefill = Arc::clone(shared);
    spawner.spawn(async move { run_prefills(&prefill).await });
    let decode = Arc::clone(shared);
    spawner.spawn(async move { run_steps(&decode).await });
    let load = Arc::clone(shared);
    spawner.spawn(async move { refresh_load(&load).await });
}

async fn run_prefills(shared: &Shared) {
    loop {
        let queued = shared.queued.notified();
        let next = shared.state().begin_prefill();
        let Some((id, duration)) = next else {
            queued.await;
            continue;
        };
        let prefill = tokio::time::sleep(duration.mul_f64(shared.faults().slowdown));
        tokio::select! {
            () = prefill => shared.state().end_prefill(id),
            () = until_removed(shared, id) => {}
        }
        shared.queued.notify_waiters();
        shared.decoding.notify_one();
    }
}

/// Waits until a stream has been removed.
async fn until_removed(shared: &Shared, id: StreamId) {
    loop {
        let stopped = shared.cancelled.notified();
        if !shared.state().streams.contains_key(&id) {
            return;
        }
        stopped.await;
    }
}

async fn run_steps(shared: &Shared) {
    loop {
        if shared.state().decoding_streams() == 0 {
            shared.decoding.notified().await;
            continue;
        }
        let step = {
            let state = shared.state();
            let others = state.decoding_streams().saturating_sub(1) as f64;
            let factor = 1.0 + state.options.batch_slowdown * others;
            state.options.decode_step.mul_f64(factor)
        };
        tokio::time::sleep(step.mul_f64(shared.faults().slowdown)).await;
        shared.state().step(Instant::now());
    }
}

/// Publishes the load with a delay of `load_lag`.
async fn refresh_load(shared: &Shared) {
    loop {
        let report = shared.current_load();
        let lag = shared.state().options.load_lag;
        tokio::time::sleep(lag.max(Duration::from_millis(1))).await;
        *shared.load() = report;
    }
}

impl Shared {
    pub(super) fn current_load(&self) -> LoadReport {
        let state = self.state();
        LoadReport {
            incarnation: self.incarnation,
            memory_tokens: state.options.memory_tokens,
            used_tokens: state.used_tokens(),
            streams: state.live_streams().len() as u64,
            cache_sequence: state.cache.sequence(),
        }
    }
}
