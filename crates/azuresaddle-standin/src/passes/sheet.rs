//! Loads: kinds of requests, their rates over a day, and the requests drawn from them.

use azuresaddle_core::deployment::EngineSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::placers::Placers;
use super::troubles::{CrashingRequest, Flood, Span, Troubles};

/// A kind of request.
#[derive(Clone, Debug)]
pub struct KindOfRequest {
    /// Name.
    pub name: &'static str,
    /// Requests a second at the whole rate.
    pub per_s: f64,
    /// Mean prompt, in tokens.
    pub prompt_tokens: f64,
    /// Spread of the prompts: standard deviation of their logarithm.
    pub prompt_spread: f64,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: f64,
    /// Mean events of an answer.
    pub events: f64,
    /// Spread of the answers.
    pub events_spread: f64,
    /// Most events.
    pub max_events: f64,
    /// Time to the first event on time, in milliseconds.
    pub first_event_ms: f64,
    /// Longest pause between events on time, in milliseconds.
    pub pause_ms: f64,
    /// Time by which the answer must have ended, in milliseconds.
    pub deadline_ms: f64,
    /// Worth on time.
    pub worth: f64,
    /// Worth when late.
    pub late_worth: f64,
    /// Factors of the rate in the phases of the day.
    pub phases: [f64; 3],
}

/// A deployment's load.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// Name.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Speeds and sizes of the engines.
    pub spec: EngineSpec,
    /// Kinds of requests.
    pub kinds: Vec<KindOfRequest>,
    /// Part of the whole rate.
    pub load: f64,
    /// Length of the day, in seconds.
    pub length_s: f64,
    /// Failure domains that the engines are spread over evenly.
    pub domains: usize,
    /// Who places on which engines.
    pub placers: Placers,
    /// What goes wrong.
    pub troubles: Troubles,
}

/// A request.
#[derive(Clone, Debug)]
pub struct SheetRequest {
    /// When it arrives, in milliseconds.
    pub at_ms: f64,
    /// Index of its kind.
    pub kind: usize,
    /// Number of the client account that sends it; what [`FLOODING`] asks is not counted.
    pub account: usize,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of its answer, in tokens.
    pub answer_tokens: u64,
    /// The caller's estimate of that.
    pub answer_estimate: u64,
    /// Worth on time, by its size.
    pub worth: f64,
    /// Worth when late.
    pub late_worth: f64,
    /// Whether it ends the engine that begins to write its answer; all such are one request.
    pub crashes: bool,
}

/// Client accounts of a sheet.
const ACCOUNTS: usize = 10;

/// The account whose requests are not counted: one that floods, or sends what ends engines.
pub const FLOODING: usize = ACCOUNTS;

/// Most times the worth of its kind that a request may have.
const MAX_SIZE_WORTH: f64 = 4.0;

/// Phases of the day: begin and end of each, in seconds.
const PHASES: [(f64, f64); 3] = [(1.9, 11.4), (12.0, 21.5), (23.0, 32.5)];

/// Spread of the callers' estimates.
const ESTIMATE_SPREAD: f64 = 0.5;

/// All requests of a day, in the order of their arrival.
pub fn draw_requests(sheet: &Sheet, seed: u64) -> Vec<SheetRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, kind) in sheet.kinds.iter().enumerate() {
        draw_kind(sheet, index, kind, &mut rng, &mut requests);
    }
    if let Some(flood) = sheet.troubles.flood {
        draw_flood(sheet, flood, &mut rng, &mut requests);
    }
    if let Some(crashing) = sheet.troubles.crashing {
        draw_crashing(sheet, crashing, &mut rng, &mut requests);
    }
    requests.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    // Drawn apart, so that a seed gives the same requests whoever sends them.
    let mut rng = StdRng::seed_from_u64(!seed);
    for request in requests.iter_mut().filter(|r| r.account != FLOODING) {
        request.account = draw_account(&mut rng);
    }
    requests
}

fn draw_kind(
    sheet: &Sheet,
    index: usize,
    kind: &KindOfRequest,
    rng: &mut StdRng,
    requests: &mut Vec<SheetRequest>,
) {
    let burst = match sheet.troubles.quick_burst {
        0.0 => 1.0,
        times => times,
    };
    let most = kind.phases.iter().copied().fold(1.0, f64::max) * burst;
    let prompts = log_normal(kind.prompt_tokens, kind.prompt_spread);
    let events = log_normal(kind.events, kind.events_spread);
    let estimates = LogNormal::new(0.0, ESTIMATE_SPREAD).expect("a spread is finite");
    let rate = kind.per_s * sheet.load * most;
    let mut at_s = 0.0;
    loop {
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= sheet.length_s {
            return;
        }
        // Thinning turns the highest rate into that of the phase.
        let times = if index == 0 { burst } else { 1.0 };
        if rng.random::<f64>() * most > factor(kind, at_s) * times {
            continue;
        }
        let prompt = prompts.sample(rng).clamp(100.0, kind.max_prompt_tokens);
        let events = events.sample(rng).clamp(1.0, kind.max_events).round();
        let answer = events as u64 * u64::from(sheet.spec.steps_per_pass);
        let size = (0.3 + 0.7 * prompt / kind.prompt_tokens).min(MAX_SIZE_WORTH);
        requests.push(SheetRequest {
            at_ms: at_s * 1000.0,
            kind: index,
            account: 0,
            prompt_tokens: prompt as u64,
            answer_tokens: answer,
            answer_estimate: (answer as f64 * estimates.sample(rng)) as u64,
            worth: kind.worth * size,
            late_worth: kind.late_worth * size,
            crashes: false,
        });
    }
}

/// Quick questions of one account that count for nothing.
fn draw_flood(sheet: &Sheet, flood: Flood, rng: &mut StdRng, requests: &mut Vec<SheetRequest>) {
    let span = Span {
        from_s: flood.from_s,
        to_s: flood.to_s,
    };
    draw_uncounted(sheet, span, flood.per_s, rng, requests);
}

/// Quick questions in a part of the day that count for nothing.
fn draw_uncounted(
    sheet: &Sheet,
    span: Span,
    per_s: f64,
    rng: &mut StdRng,
    requests: &mut Vec<SheetRequest>,
) {
    let quick = &sheet.kinds[0];
    let answer = quick.events as u64 * u64::from(sheet.spec.steps_per_pass);
    let count = ((span.to_s - span.from_s) * per_s) as usize;
    for _ in 0..count {
        requests.push(SheetRequest {
            at_ms: rng.random_range(span.from_s..span.to_s) * 1000.0,
            kind: 0,
            account: FLOODING,
            prompt_tokens: quick.prompt_tokens as u64,
            answer_tokens: answer,
            answer_estimate: answer,
            worth: 0.0,
            late_worth: 0.0,
            crashes: false,
        });
    }
}

/// Attempts of a request that ends engines.
fn draw_crashing(
    sheet: &Sheet,
    crashing: CrashingRequest,
    rng: &mut StdRng,
    requests: &mut Vec<SheetRequest>,
) {
    let first = requests.len();
    draw_uncounted(sheet, crashing.span, crashing.per_s, rng, requests);
    for request in &mut requests[first..] {
        request.crashes = true;
    }
}

/// A client account; each asks half as much again as the next.
fn draw_account(rng: &mut StdRng) -> usize {
    let last = ACCOUNTS - 1;
    (0..last)
        .find(|_| rng.random::<f64>() < 1.0 / 3.0)
        .unwrap_or(last)
}

fn factor(kind: &KindOfRequest, at_s: f64) -> f64 {
    let phase = PHASES.iter().position(|(b, e)| (*b..*e).contains(&at_s));
    phase.map_or(1.0, |p| kind.phases[p])
}

fn log_normal(mean: f64, spread: f64) -> LogNormal<f64> {
    let location = mean.ln() - spread * spread / 2.0;
    LogNormal::new(location, spread).expect("a spread is finite")
}
