//! The engine's two loops: prefills one at a time, and decode steps.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::engine::wire::LoadReport;
use tokio::time::Instant;

use super::server::Shared;

/// Starts both loops and the load report.
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
        let next = shared.model().begin_prefill();
        let Some((id, took)) = next else {
            queued.await;
            continue;
        };
        let prefill = tokio::time::sleep(took.mul_f64(shared.faults().slowdown));
        tokio::select! {
            () = prefill => shared.model().end_prefill(id),
            () = cancelled(shared, id) => {}
        }
        shared.queued.notify_waiters();
        shared.decoding.notify_one();
    }
}

/// Waits until a stream is gone.
async fn cancelled(shared: &Shared, id: StreamId) {
    loop {
        let stopped = shared.cancelled.notified();
        if !shared.model().streams.contains_key(&id) {
            return;
        }
        stopped.await;
    }
}

async fn run_steps(shared: &Shared) {
    loop {
        if shared.model().decoding() == 0 {
            shared.decoding.notified().await;
            continue;
        }
        let step = {
            let model = shared.model();
            let others = model.decoding().saturating_sub(1) as f64;
            let factor = 1.0 + model.options.batch_slowdown * others;
            model.options.decode_step.mul_f64(factor)
        };
        tokio::time::sleep(step.mul_f64(shared.faults().slowdown)).await;
        shared.model().step(Instant::now());
    }
}

/// Keeps the load report as old as its lag.
async fn refresh_load(shared: &Shared) {
    loop {
        let report = shared.load_now();
        let lag = shared.model().options.load_lag;
        tokio::time::sleep(lag.max(Duration::from_millis(1))).await;
        *shared.load() = report;
    }
}

impl Shared {
    pub(super) fn load_now(&self) -> LoadReport {
        let model = self.model();
        LoadReport {
            incarnation: self.incarnation,
            memory_tokens: model.options.memory_tokens,
            used_tokens: model.used(),
            streams: model.live().len() as u64,
            cache_sequence: model.cache.sequence(),
        }
    }
}
