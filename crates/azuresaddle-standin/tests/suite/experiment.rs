//! The experiments: reproducible results, and bounds on the policies' results.

use azuresaddle_standin::experiment::{Experiment, ExperimentRow, Mix, Policy, run_experiment};

fn mix(duration_s: f64) -> Mix {
    Mix {
        duration_s,
        ..Mix::default()
    }
}

fn run(experiment: Experiment, mix: &Mix, policy: Policy) -> Vec<ExperimentRow> {
    run_experiment(experiment, mix, &[policy], &[1])
}

fn assert_sound(row: &ExperimentRow) {
    let wrong = (row.lost, row.doubled, row.memory_left);
    assert_eq!(wrong, (0, 0, 0), "{}", row.variant);
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let figures = || {
        let rows = run(Experiment::Ttft, &mix(60.0), Policy::Full);
        serde_json::to_string(&rows).expect("rows serialize")
    };
    assert_eq!(figures(), figures());
}

#[test]
fn long_prompts_hardly_delay_short_ones() {
    let rows = run(Experiment::Hol, &mix(120.0), Policy::Full);
    let bounds = [1.02, 1.10, 1.30, 1.30];
    assert_eq!(rows.len(), bounds.len());
    for (row, bound) in rows.iter().zip(bounds) {
        assert!(row.hol_ratio <= bound, "{}: {}", row.variant, row.hol_ratio);
        assert_sound(row);
    }
}

#[test]
fn baselines_delay_short_prompts() {
    let rows = run(Experiment::Ttft, &mix(120.0), Policy::PowerOfTwo);
    assert!(rows[0].hol_ratio > 5.0, "{}", rows[0].hol_ratio);
}

#[test]
fn engine_faults_neither_lose_nor_duplicate_answers() {
    for row in run(Experiment::Faults, &mix(120.0), Policy::Full) {
        assert!(row.hol_ratio <= 1.5, "{}", row.hol_ratio);
        assert_eq!(row.failed, 0);
        assert_sound(&row);
    }
}

#[test]
fn invalid_mixes_are_rejected() {
    let unknown = serde_json::from_str::<Mix>(r#"{"enginez": {}}"#);
    assert!(unknown.is_err());
    let mix: Mix = serde_json::from_str(r#"{"load": 0}"#).expect("it parses");
    assert_eq!(mix.problem(), Some("load must be above 0"));
    assert_eq!(Mix::default().problem(), None);
}
