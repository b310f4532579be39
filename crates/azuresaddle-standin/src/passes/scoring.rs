//! Scores a simulated day by the users' own rules for credit.

use serde::Serialize;

use super::workload::{UNSCORED_ACCOUNT, Workload, WorkloadRequest};

/// Length of the time windows of which the two worst are scored, in milliseconds.
const WINDOW_MS: f64 = 3000.0;

/// Weights of the whole day, of the two worst windows and of the worst request kind.
const WEIGHTS: (f64, f64, f64) = (0.6, 0.25, 0.15);

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    OnTime,
    Late,
    Lost,
}

/// Results of one request kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindResults {
    /// Name of the request kind.
    pub name: String,
    /// Number of requests.
    pub asked: usize,
    /// Requests answered on time.
    pub on_time: usize,
    /// Requests answered, on time or late.
    pub served: usize,
    /// Credit earned over credit owed.
    pub worth: f64,
    /// Fraction answered of the tenth of the requests with the longest prompts.
    pub largest_served: f64,
    /// Median, 95th and 99th percentile of the time to the first event, in milliseconds.
    pub first_event_ms: [f64; 3],
}

/// Results of one simulated day.
#[derive(Clone, Debug, Serialize)]
pub struct DayResults {
    /// Name of the policy.
    pub policy: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Score: weighted mean of the whole day, the two worst windows and the worst request kind, less
    /// the loss by holding.
    pub worth: f64,
    /// Credit earned over credit owed, for the whole day.
    pub day: f64,
    /// Fraction of the credit owed that is lost by holding requests without sending them to an
    /// engine.
    pub held: f64,
    /// Credit earned over credit owed, mean of the two worst windows.
    pub windows: f64,
    /// Highest number of requests and prompt parts that a rate-limited engine received within 4 s,
    /// over the number that its limit allows.
    pub limit_use: f64,
    /// Fraction of the refused requests that were held longer than an eighth of their time to the
    /// first event.
    pub refused_after_wait: f64,
    /// Results of each request kind.
    pub kinds: Vec<KindResults>,
}

/// Record of a simulated day; each slice is indexed by request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedDay<'a> {
    pub(super) requests: &'a [WorkloadRequest],
    pub(super) outcomes: &'a [RequestOutcome],
    /// Time to the first event, in milliseconds.
    pub(super) first_event_ms: &'a [Option<f64>],
    /// Fraction of the worth lost by holding the request without sending it to an engine.
    pub(super) held: &'a [f64],
    /// Whether the request was refused.
    pub(super) refused: &'a [bool],
    /// See [`DayResults::limit_use`].
    pub(super) limit_use: f64,
}

/// Computes the results of a day.
pub(super) fn score_day(
    workload: &Workload,
    day: &SimulatedDay<'_>,
    policy: &str,
    seed: u64,
) -> DayResults {
    let SimulatedDay {
        requests,
        outcomes,
        first_event_ms,
        held,
        refused,
        limit_use,
    } = *day;
    let credit = |i: usize| match outcomes[i] {
        RequestOutcome::OnTime => requests[i].worth,
        RequestOutcome::Late => requests[i].late_worth,
        RequestOutcome::Lost => 0.0,
    };
    let ratio = |of: &[usize]| {
        let owed: f64 = of.iter().map(|i| requests[*i].worth).sum();
        let earned: f64 = of.iter().map(|i| credit(*i)).sum();
        if owed == 0.0 { 1.0 } else { earned / owed }
    };
    let all: Vec<usize> = (0..requests.len()).collect();
    let day = ratio(&all);
    let refused_after_wait = {
        let refused = refused.iter().zip(held).filter(|(refused, _)| **refused);
        let waited = refused.clone().filter(|(_, held)| **held > 0.0).count();
        waited as f64 / refused.count().max(1) as f64
    };
    let owed: f64 = requests.iter().map(|r| r.worth).sum();
    let held: f64 = requests.iter().zip(held).map(|(r, h)| r.worth * h).sum();
    let held = held / owed;
    let count = (workload.length_s * 1000.0 / WINDOW_MS) as usize;
    let mut windows: Vec<f64> = (0..count)
        .map(|w| {
            let begin = w as f64 * WINDOW_MS;
            let of = |i: &&usize| (begin..begin + WINDOW_MS).contains(&requests[**i].at_ms);
            ratio(&all.iter().filter(of).copied().collect::<Vec<_>>())
        })
        .collect();
    windows.sort_by(f64::total_cmp);
    let windows = (windows[0] + windows[1]) / 2.0;
    let kinds: Vec<KindResults> = workload
        .kinds
        .iter()
        .enumerate()
        .map(|(k, kind)| {
            let of: Vec<usize> = all
                .iter()
                .filter(|i| requests[**i].kind == k && requests[**i].account != UNSCORED_ACCOUNT)
                .copied()
                .collect();
            kind_results(
                kind.name,
                requests,
                outcomes,
                first_event_ms,
                &of,
                ratio(&of),
            )
        })
        .collect();
    let worst = kinds.iter().map(|k| k.worth).fold(1.0, f64::min);
    DayResults {
        policy: policy.to_owned(),
        seed,
        worth: WEIGHTS.0 * day + WEIGHTS.1 * windows + WEIGHTS.2 * worst - held,
        day,
        held,
        windows,
        limit_use,
        refused_after_wait,
        kinds,
    }
}

fn kind_results(
    name: &str,
    requests: &[WorkloadRequest],
    outcomes: &[RequestOutcome],
    first_event_ms: &[Option<f64>],
    of: &[usize],
    worth: f64,
) -> KindResults {
    let served = |i: &&usize| outcomes[**i] != RequestOutcome::Lost;
    let mut by_size = of.to_vec();
    by_size.sort_by_key(|i| std::cmp::Reverse(requests[*i].prompt_tokens));
    by_size.truncate((of.len() / 10).max(1));
    let largest = by_size.iter().filter(served).count() as f64 / by_size.len().max(1) as f64;
    let mut firsts: Vec<f64> = of.iter().filter_map(|i| first_event_ms[*i]).collect();
    firsts.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let last = firsts.len().saturating_sub(1);
        firsts
            .get((last as f64 * q) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    KindResults {
        name: name.to_owned(),
        asked: of.len(),
        on_time: of
            .iter()
            .filter(|i| outcomes[**i] == RequestOutcome::OnTime)
            .count(),
        served: of.iter().filter(served).count(),
        worth,
        largest_served: largest,
        first_event_ms: [at(0.5), at(0.95), at(0.99)],
    }
}
