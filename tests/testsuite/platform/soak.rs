//! A short soak; seeds that failed once stay here, each with its cause.

use std::time::Duration;

use azuresaddle_standin::soak::{FleetOptions, SoakOptions, run_soak};

use super::support::{dir, program};

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults_from_outside() {
    let options = SoakOptions {
        program: program().to_owned(),
        dir: dir("soak"),
        seed: 4,
        callers: 6,
        length: Duration::from_secs(7),
        fleet: FleetOptions::default(),
    };
    let report = run_soak(&options).await.unwrap();
    assert!(report.is_good(), "{report}");
}
