//! Short soak tests. Seeds that failed before stay as regression tests, each with its cause.
//!
//! Seed 20: a fault in the stand-in engine. After it had been silenced for a while it continued with the next event and
//! ended the stream as complete, with events missing.

use std::time::Duration;

use azuresaddle_standin::soak::{FaultOptions, FleetOptions, SoakOptions, run_soak};

use super::support::{dir, program};

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_external_faults() {
    soak(4, 3, FaultOptions::default(), 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_with_a_seed_that_failed_before() {
    soak(20, 3, FaultOptions::default(), 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_targets_restart_under_their_names() {
    soak(31, 3, RESTARTS, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_crash_their_targets_are_quarantined_under_faults() {
    soak(5, 3, FaultOptions::default(), 2).await;
}

/// With this seed one request crashed 35 targets after one of its answers had been complete.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_crash_their_targets_are_kept_from_them_by_five_nodes() {
    soak(77_003, 5, RESTARTS, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_store_reverts_during_other_faults() {
    let faults = FaultOptions {
        has_store_rollbacks: true,
        ..RESTARTS
    };
    soak(9, 3, faults, 0).await;
}

const RESTARTS: FaultOptions = FaultOptions {
    has_restarts: true,
    has_store_rollbacks: false,
    has_signals: false,
    silent_targets: 0,
    loses_nothing: false,
    overlaps: false,
    has_changes: false,
    has_odd_entries: false,
};

#[tokio::test(flavor = "multi_thread")]
async fn target_signals_are_honored_under_faults() {
    let faults = FaultOptions {
        has_signals: true,
        ..RESTARTS
    };
    soak_for(Duration::from_secs(16), 12, 3, faults, 0).await;
}

/// Guards against callers that stop reading or sending and take up the memory or the engines of others, while plain targets
/// are silent.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_beside_stalled_readers_and_silent_targets() {
    let faults = FaultOptions {
        silent_targets: 1,
        ..RESTARTS
    };
    let length = Duration::from_secs(12);
    let report = run_soak(&options(length, 21, 3, faults, 0, 8)).await;
    let report = report.unwrap();
    assert!(report.passed(), "{report}");
    let paused = report.ends.get("callers that paused: 200");
    assert!(paused.is_some_and(|n| *n > 0), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_prompts_that_crash_targets_are_kept_from_them_under_faults() {
    let options = SoakOptions {
        part_crashers: 2,
        ..options(Duration::from_secs(9), 41, 5, RESTARTS, 0, 0)
    };
    let report = run_soak(&options).await.unwrap();
    assert!(report.passed(), "{report}");
}

/// Guards against answers that are lost though nothing has failed: nodes stop while requests wait for engines and answers are
/// still read, and all targets are silent for a second or so and go on.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_lost_by_stops_and_pauses_of_sound_targets() {
    let faults = FaultOptions {
        loses_nothing: true,
        ..FaultOptions::default()
    };
    let options = SoakOptions {
        slow_readers: 6,
        crowd: 72,
        ..options(Duration::from_secs(20), 51, 3, faults, 0, 0)
    };
    let report = run_soak(&options).await.unwrap();
    assert!(report.passed(), "{report}");
    for end in ["callers that read slowly: 200", "callers in a crowd: 200"] {
        assert!(report.ends.get(end).is_some_and(|n| *n > 0), "{report}");
    }
}

/// Guards against answers that are lost when sound targets are silent while the configuration changes or a node stops.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_lost_by_silences_that_overlap_with_planned_work() {
    let faults = FaultOptions {
        overlaps: true,
        ..FaultOptions::default()
    };
    let mut options = SoakOptions {
        crowd: 36,
        ..options(Duration::from_secs(20), 61, 3, faults, 0, 0)
    };
    options.fleet.platform.engines = 8;
    let report = run_soak(&options).await.unwrap();
    assert!(report.passed(), "{report}");
    let whole = report.ends.get("callers in a crowd: 200");
    assert!(whole.is_some_and(|n| *n > 0), "{report}");
}

/// Guards against nodes that stop following the configuration, for example after an odd entry among those of the targets.
#[tokio::test(flavor = "multi_thread")]
async fn each_change_is_followed_beside_odd_entries_and_faults() {
    let faults = FaultOptions {
        has_changes: true,
        has_odd_entries: true,
        ..FaultOptions::default()
    };
    let options = options(Duration::from_secs(18), 73_003, 3, faults, 0, 0);
    let report = run_soak(&options).await.unwrap();
    assert!(report.passed(), "{report}");
    let checked = report.ends.get("answers checked against a change");
    assert!(checked.is_some_and(|n| *n > 0), "{report}");
}

async fn soak(seed: u64, nodes: u8, faults: FaultOptions, crashers: u64) {
    soak_for(Duration::from_secs(7), seed, nodes, faults, crashers).await;
}

async fn soak_for(length: Duration, seed: u64, nodes: u8, faults: FaultOptions, crashers: u64) {
    let options = options(length, seed, nodes, faults, crashers, 0);
    let report = run_soak(&options).await.unwrap();
    assert!(report.passed(), "{report}");
}

fn options(
    length: Duration,
    seed: u64,
    nodes: u8,
    faults: FaultOptions,
    crashers: u64,
    stalled_readers: u64,
) -> SoakOptions {
    SoakOptions {
        program: program().to_owned(),
        dir: dir(&format!("soak-{seed}")),
        seed,
        callers: 6,
        length,
        fleet: FleetOptions {
            nodes,
            ..FleetOptions::default()
        },
        faults,
        crashers,
        part_crashers: 0,
        stalled_readers,
        slow_readers: 0,
        crowd: 0,
    }
}
