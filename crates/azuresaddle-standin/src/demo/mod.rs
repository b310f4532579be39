//! Runs the whole system in one process on loopback with prompts of widely varying lengths.

use std::time::Duration;

use anyhow::{Result, ensure};
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::cluster::{Cluster, ClusterSpec, Loopback};
use crate::engine::EngineOptions;
use crate::load::{LoadPlan, LoadSummary, RequestProfile, run_load};

/// Number of nodes.
const NODES: usize = 3;

/// Number of engines.
const ENGINES: usize = 8;

/// Minimum length of the prompts that need at least three engines, in tokens.
const HUGE_TOKENS: u64 = 850_000;

/// Timeout for the system to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time during which requests are sent in each of the two phases.
const PHASE_DURATION: Duration = Duration::from_secs(15);

/// Results of the demo's two phases.
#[derive(Clone, Debug)]
pub struct DemoResult {
    /// Results of short prompts alone.
    pub alone: LoadSummary,
    /// Results of short and long prompts together.
    pub mixed: LoadSummary,
}

impl DemoResult {
    /// Whether no answer was lost, crossed or doubled.
    pub fn is_sound(&self) -> bool {
        self.alone.is_sound() && self.mixed.is_sound()
    }
}

/// Runs the demo; `report_progress` is called with each line of progress.
///
/// # Errors
/// Returns an error if a component can't be started or the system does not settle in time.
pub async fn run_demo(seed: u64, report_progress: impl Fn(&str)) -> Result<DemoResult> {
    let options = EngineOptions {
        decode_step: Duration::from_millis(10),
        ..EngineOptions::default()
    };
    report_progress(&format!(
        "starting {ENGINES} engines, a store, a host list and {NODES} nodes"
    ));
    let spec = ClusterSpec::uniform(NODES, ENGINES, 1, &options);
    let cluster = Cluster::open(Loopback, spec, |_| {}).await?;
    settle(&cluster).await?;
    let http = cluster.client("callers");
    let seeds = cluster.seeds();
    let short = [
        profile("sabarmati", 8.0, 1_000, 4_000),
        profile("aguaclara", 4.0, 1_000, 6_000),
    ];
    report_progress("short prompts alone");
    let plan = plan(short.to_vec(), seed);
    let alone = run_load(&http, &seeds, &plan, progress_reporter(&report_progress)).await;
    report_progress("short prompts beside long ones, up to a million tokens");
    let mut profiles = short.to_vec();
    profiles.push(profile("sabarmati", 0.8, 20_000, 200_000));
    profiles.push(profile("aguaclara", 0.4, 200_000, 350_000));
    profiles.push(RequestProfile {
        extra_request_at: Some(PHASE_DURATION / 3),
        ..profile("aguaclara", 0.15, HUGE_TOKENS, 1_000_000)
    });
    let mixed = run_load(
        &http,
        &seeds,
        &self::plan(profiles, seed + 1),
        progress_reporter(&report_progress),
    )
    .await;
    Ok(DemoResult { alone, mixed })
}

async fn settle(cluster: &Cluster<Loopback>) -> Result<()> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !cluster.is_settled() {
        ensure!(
            Instant::now() < deadline,
            "not every pool had a known owner and usable targets within {SETTLE_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn profile(account: &str, rate: f64, min_tokens: u64, max_tokens: u64) -> RequestProfile {
    RequestProfile {
        account: ClientAccount::new(account),
        rate,
        min_tokens,
        max_tokens,
        kind: String::new(),
        extra_request_at: None,
    }
}

fn plan(profiles: Vec<RequestProfile>, seed: u64) -> LoadPlan {
    LoadPlan {
        model: Model::new("m"),
        profiles,
        duration: PHASE_DURATION,
        answer_tokens: 64,
        deadline: Duration::from_secs(60),
        seed,
    }
}

/// Returns a callback that reports progress after every 50th outcome.
fn progress_reporter(report_progress: &impl Fn(&str)) -> impl FnMut(&LoadSummary) {
    const EVERY: u64 = 50;
    move |report| {
        if report.sent % EVERY == 0 {
            report_progress(&format!(
                "  {} answered, {} whole",
                report.sent, report.whole
            ));
        }
    }
}
