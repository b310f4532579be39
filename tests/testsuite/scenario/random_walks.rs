//! Random walks: scenario scripts of randomly chosen commands.
//!
//! `AZURESADDLE_WALKS=N` runs N more walks, with the seeds after the fixed ones.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::driver;

/// Number of walks that always run, with the seeds from 1 on.
const FIXED_WALKS: u64 = 12;

/// Number of steps of one walk.
const STEPS: usize = 40;

const NODES: usize = 3;
const ENGINES: usize = 3;

/// Faults that a walk has injected and must repair at its end.
#[derive(Default)]
struct ActiveFaults {
    node: Option<usize>,
    engine: Option<usize>,
    frozen: Option<usize>,
    store: bool,
}

fn script(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = ActiveFaults::default();
    let mut lines = vec![format!(
        "start --nodes {NODES} --engines {ENGINES} --services 2"
    )];
    for step in 0..STEPS {
        lines.extend(random_line(&mut rng, step, &mut faults));
        lines.push(format!("advance {}ms", rng.random_range(10..3_000)));
    }
    lines.extend(repair_lines(&faults));
    lines.push("advance 30s".to_owned());
    lines.push("send last --tokens 2000".to_owned());
    lines.join("\n")
}

fn random_line(rng: &mut StdRng, step: usize, faults: &mut ActiveFaults) -> Option<String> {
    let node = rng.random_range(0..NODES) + 1;
    let engine = rng.random_range(0..ENGINES) + 1;
    Some(match rng.random_range(0..20) {
        0..8 => {
            let tokens = [1_000, 3_000, 8_000, 50_000, 150_000, 500_000][rng.random_range(0..6)];
            let answer = rng.random_range(8..300);
            let once = if rng.random_bool(0.2) { "--once" } else { "" };
            format!("send r{step} --tokens {tokens} --max-tokens {answer} --deadline 40s {once}")
        }
        8 => match faults.node.take() {
            Some(dead) => format!("restart n{dead}"),
            None => {
                faults.node = Some(node);
                format!("kill n{node}")
            }
        },
        9 => match faults.engine.take() {
            Some(dead) => format!("restart e{dead}"),
            None if faults.frozen == Some(engine) => return None,
            None => {
                faults.engine = Some(engine);
                format!("kill e{engine}")
            }
        },
        10 => match faults.frozen.take() {
            Some(frozen) => format!("thaw e{frozen}"),
            None if faults.engine == Some(engine) => return None,
            None => {
                faults.frozen = Some(engine);
                format!("freeze e{engine}")
            }
        },
        11 => {
            faults.store = !faults.store;
            if faults.store {
                "store down"
            } else {
                "store up"
            }
            .to_owned()
        }
        12 => format!("silence e{engine} all"),
        13 => format!("silence n{node} store"),
        14 => format!("fault e{engine} '{{\"doubled-every\": 9, \"crossed-every\": 31}}'"),
        15 => format!("fault e{engine} '{{\"missing-every\": 17, \"late-every\": 23}}'"),
        16 => format!("fault e{engine} '{{\"lose-cancels\": 2}}'"),
        17 => format!("fault e{engine} '{{\"break-after\": 20}}'"),
        18 => "store lose-answers --count 1".to_owned(),
        _ => "store lose-renewals --count 3".to_owned(),
    })
}

fn repair_lines(faults: &ActiveFaults) -> Vec<String> {
    let mut lines = vec!["store up".to_owned()];
    lines.extend(faults.frozen.map(|e| format!("thaw e{e}")));
    lines.extend(faults.engine.map(|e| format!("restart e{e}")));
    lines.extend(faults.node.map(|n| format!("restart n{n}")));
    lines.extend((1..=ENGINES).map(|e| format!("fault e{e} '{{}}'")));
    lines
}

#[test]
fn random_walks_violate_no_guarantee() {
    let more = std::env::var("AZURESADDLE_WALKS")
        .ok()
        .and_then(|n| n.parse().ok());
    for seed in 1..=FIXED_WALKS + more.unwrap_or(0) {
        let script = script(seed);
        let run = std::panic::catch_unwind(|| driver::run_script(&script));
        assert!(run.is_ok(), "walk {seed}:\n{script}");
    }
}
