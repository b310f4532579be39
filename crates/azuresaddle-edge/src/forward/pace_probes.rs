//! Probes the pace of engines that the owner of their pool suspects of being slow.

use std::sync::Arc;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{EngineReport, REPORT_PATH, decode_engine_report};
use tokio::sync::mpsc;

use super::attempt::SendFailure;
use super::forwarder::Forwarder;
use super::target_call::{TargetCall, call_target};
use crate::placement::Owner;

/// Probes each engine received from `engines` concurrently, and reports its pace to the owner.
pub(super) async fn run_pace_probes<N: Network>(
    cx: Arc<Forwarder<N>>,
    owner: Arc<Owner>,
    mut engines: mpsc::Receiver<HostName>,
) {
    while let Some(engine) = engines.recv().await {
        let cx = Arc::clone(&cx);
        let owner = Arc::clone(&owner);
        let tasks = cx.spawner.clone();
        tasks.spawn(async move {
            match fetch_report(&cx, &engine).await {
                Ok(report) => owner.on_pace(&engine, &report),
                Err(e) => tracing::info!(
                    part = "placement",
                    target = %engine,
                    failure = %e,
                    "can't probe the engine's pace"
                ),
            }
        });
    }
}

async fn fetch_report<N: Network>(
    cx: &Arc<Forwarder<N>>,
    engine: &HostName,
) -> Result<EngineReport, SendFailure> {
    let snapshot = cx.snapshots.load();
    let target = snapshot
        .targets
        .get(engine)
        .ok_or_else(|| SendFailure::NotSent("the target is no longer registered".to_owned()))?;
    let answer = call_target(cx, target, TargetCall::get(REPORT_PATH)).await?;
    decode_engine_report(&answer).map_err(|e| SendFailure::Broken(e.to_string()))
}
