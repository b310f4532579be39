//! Workloads: request kinds, their rates over a day, and the requests drawn from them.

use azuresaddle_core::deployment::EngineSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::demand_shape::DemandShape;
use super::faults::{CrashingRequest, Faults, Flood, Span};
use super::pool_layout::PoolLayout;

/// A kind of request, with the distributions of its sizes and its targets.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name.
    pub name: &'static str,
    /// Requests per second at a load of 1.
    pub requests_per_s: f64,
    /// Mean length of the prompts, in tokens.
    pub prompt_tokens: f64,
    /// Standard deviation of the logarithm of the prompt length.
    pub prompt_spread: f64,
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: f64,
    /// Mean number of events of an answer.
    pub events: f64,
    /// Standard deviation of the logarithm of the number of events.
    pub events_spread: f64,
    /// Maximum number of events of an answer.
    pub max_events: f64,
    /// Time by which the first event counts as on time, in milliseconds.
    pub first_event_ms: f64,
    /// Longest pause between events that counts as on time, in milliseconds.
    pub pause_ms: f64,
    /// Time by which the answer must be complete, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of an answer on time, for a prompt of mean length.
    pub worth: f64,
    /// Worth of a late answer, for a prompt of mean length.
    pub late_worth: f64,
    /// Factors of the request rate in the three phases of the day. Of an alternating day, the first
    /// applies to the phases of mostly long prompts and the second to those of mostly short ones.
    pub phases: [f64; 3],
}

/// A deployment with its load and the faults of a day.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Performance model of the engines.
    pub spec: EngineSpec,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Factor of all request rates.
    pub load: f64,
    /// How the request rates vary with time.
    pub shape: DemandShape,
    /// Length of the day, in seconds.
    pub length_s: f64,
    /// Number of failure domains, over which the engines are spread evenly.
    pub domains: usize,
    /// Division of the engines into pools.
    pub pool_layout: PoolLayout,
    /// Faults and load spikes of the day.
    pub faults: Faults,
}

/// A request of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadRequest {
    /// Time of arrival, in milliseconds from the start of the day.
    pub at_ms: f64,
    /// Index of its kind in [`Workload::kinds`].
    pub kind: usize,
    /// Index of the client account that sends it; [`UNSCORED_ACCOUNT`] if it is not scored.
    pub account: usize,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of its answer, in tokens.
    pub answer_tokens: u64,
    /// The caller's estimate of the length of the answer, in tokens.
    pub estimated_answer_tokens: u64,
    /// Worth of an answer on time, which grows with the length of the prompt.
    pub worth: f64,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Whether it crashes the engine that begins to decode its answer. All such requests have the same
    /// fingerprint.
    pub crashes_engine: bool,
}

/// Number of client accounts whose requests are scored.
const ACCOUNT_COUNT: usize = 10;

/// Index of the client account whose requests are not scored: the one that floods the pool or sends
/// requests that crash engines.
pub const UNSCORED_ACCOUNT: usize = ACCOUNT_COUNT;

/// Upper bound of the factor by which the length of a prompt raises the worth of its kind.
const MAX_SIZE_FACTOR: f64 = 4.0;

/// Standard deviation of the logarithm of the callers' estimates over the true length.
const ESTIMATE_SPREAD: f64 = 0.5;

/// Generates all requests of a day, in order of arrival.
pub fn generate_requests(workload: &Workload, seed: u64) -> Vec<WorkloadRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, kind) in workload.kinds.iter().enumerate() {
        draw_kind(workload, index, kind, &mut rng, &mut requests);
    }
    if let Some(flood) = workload.faults.flood {
        draw_flood(workload, flood, &mut rng, &mut requests);
    }
    if let Some(crashing) = workload.faults.crashing_request {
        draw_crashing_request(workload, crashing, &mut rng, &mut requests);
    }
    requests.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    // Accounts come from a generator of their own, so that the requests of a seed do not depend on
    // who sends them.
    let mut rng = StdRng::seed_from_u64(!seed);
    for request in requests
        .iter_mut()
        .filter(|r| r.account != UNSCORED_ACCOUNT)
    {
        request.account = draw_account(&mut rng);
    }
    requests
}

fn draw_kind(
    workload: &Workload,
    index: usize,
    kind: &RequestKind,
    rng: &mut StdRng,
    requests: &mut Vec<WorkloadRequest>,
) {
    let burst = match workload.faults.quick_burst_factor {
        0.0 => 1.0,
        times => times,
    };
    let most = workload.shape.max_factor(kind) * burst;
    let prompts = log_normal(kind.prompt_tokens, kind.prompt_spread);
    let events = log_normal(kind.events, kind.events_spread);
    let estimates = LogNormal::new(0.0, ESTIMATE_SPREAD).expect("the standard deviation is finite");
    let rate = kind.requests_per_s * workload.load * most;
    let mut at_s = 0.0;
    loop {
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= workload.length_s {
            return;
        }
        // Thinning reduces the highest rate to that of the phase.
        let times = if index == 0 { burst } else { 1.0 };
        if rng.random::<f64>() * most > workload.shape.factor(kind, at_s) * times {
            continue;
        }
        let prompt = prompts.sample(rng).clamp(100.0, kind.max_prompt_tokens);
        let events = events.sample(rng).clamp(1.0, kind.max_events).round();
        let answer = events as u64 * u64::from(workload.spec.steps_per_pass);
        let size = (0.3 + 0.7 * prompt / kind.prompt_tokens).min(MAX_SIZE_FACTOR);
        requests.push(WorkloadRequest {
            at_ms: at_s * 1000.0,
            kind: index,
            account: 0,
            prompt_tokens: prompt as u64,
            answer_tokens: answer,
            estimated_answer_tokens: (answer as f64 * estimates.sample(rng)) as u64,
            worth: kind.worth * size,
            late_worth: kind.late_worth * size,
            crashes_engine: false,
        });
    }
}

/// Draws the unscored requests of the flooding client account.
fn draw_flood(
    workload: &Workload,
    flood: Flood,
    rng: &mut StdRng,
    requests: &mut Vec<WorkloadRequest>,
) {
    let span = Span {
        from_s: flood.from_s,
        to_s: flood.to_s,
    };
    draw_unscored(workload, span, flood.requests_per_s, rng, requests);
}

/// Draws unscored requests of the first kind within a time span.
fn draw_unscored(
    workload: &Workload,
    span: Span,
    requests_per_s: f64,
    rng: &mut StdRng,
    requests: &mut Vec<WorkloadRequest>,
) {
    let quick = &workload.kinds[0];
    let answer = quick.events as u64 * u64::from(workload.spec.steps_per_pass);
    let count = ((span.to_s - span.from_s) * requests_per_s) as usize;
    for _ in 0..count {
        requests.push(WorkloadRequest {
            at_ms: rng.random_range(span.from_s..span.to_s) * 1000.0,
            kind: 0,
            account: UNSCORED_ACCOUNT,
            prompt_tokens: quick.prompt_tokens as u64,
            answer_tokens: answer,
            estimated_answer_tokens: answer,
            worth: 0.0,
            late_worth: 0.0,
            crashes_engine: false,
        });
    }
}

/// Draws the attempts of the request that crashes engines.
fn draw_crashing_request(
    workload: &Workload,
    crashing: CrashingRequest,
    rng: &mut StdRng,
    requests: &mut Vec<WorkloadRequest>,
) {
    let first = requests.len();
    draw_unscored(
        workload,
        crashing.span,
        crashing.requests_per_s,
        rng,
        requests,
    );
    for request in &mut requests[first..] {
        request.crashes_engine = true;
    }
}

/// Draws a client account. Each sends half as many requests again as the next.
fn draw_account(rng: &mut StdRng) -> usize {
    let last = ACCOUNT_COUNT - 1;
    (0..last)
        .find(|_| rng.random::<f64>() < 1.0 / 3.0)
        .unwrap_or(last)
}

/// Log-normal distribution with a mean and a standard deviation of the logarithm.
fn log_normal(mean: f64, spread: f64) -> LogNormal<f64> {
    let location = mean.ln() - spread * spread / 2.0;
    LogNormal::new(location, spread).expect("the standard deviation is finite")
}
