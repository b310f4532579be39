//! Baselines that place each request on arrival, on as many engines as its memory needs.

use rand::Rng;
use rand::rngs::StdRng;

use super::engine::EngineModel;
use super::policy::PassPolicy;

/// Chooses the `members` engines with the lowest cost for a request. The first one is the lead.
pub(super) fn choose_engines(
    policy: PassPolicy,
    engines: &[EngineModel],
    members: usize,
    rng: &mut StdRng,
) -> Vec<usize> {
    let mut order: Vec<(f64, usize)> = engines
        .iter()
        .enumerate()
        .map(|(i, engine)| {
            let noise = rng.random::<f64>();
            let cost = match policy {
                PassPolicy::LeastRequests => engine.stream_count() as f64 + noise,
                PassPolicy::LeastBacklog => engine.prefill_backlog_ms() + noise,
                _ => noise,
            };
            (cost, i)
        })
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().take(members).map(|(_, i)| i).collect()
}
