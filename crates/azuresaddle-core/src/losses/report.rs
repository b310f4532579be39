//! Totals of requests and their worth by reason, second and size.

use std::collections::{BTreeMap, HashMap};

use super::line::LogLine;
use super::reason::Reason;
use super::request::Request;

/// Part of a request's worth that does not depend on its size, as given by the users' formula.
const FIXED_WORTH: f64 = 0.3;

/// Part of a request's worth that is proportional to its size relative to its route's mean.
const SIZED_WORTH: f64 = 0.7;

/// Maximum worth of a request, relative to one of its route's mean size.
const MAX_WORTH: f64 = 4.0;

/// The largest size class holds one in this many requests of a route.
const LARGEST_DIVISOR: usize = 10;

/// The next size class holds one in this many requests of a route.
const LARGE_DIVISOR: usize = 5;

/// Count and worth of the requests of one route that have one reason.
#[derive(Clone, Debug, PartialEq)]
pub struct ReasonTotals {
    /// The route.
    pub route: String,
    /// The reason.
    pub reason: Reason,
    /// Number of requests.
    pub count: usize,
    /// Total worth of the requests.
    pub worth: f64,
}

/// Count and worth of the requests that arrived in one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// Seconds since the arrival of the first request.
    pub offset_s: i64,
    /// Number of requests.
    pub count: usize,
    /// Total worth of the requests.
    pub worth: f64,
    /// Worth that was lost, by reason.
    pub lost: BTreeMap<Reason, f64>,
}

/// Requests of one route and size class.
#[derive(Clone, Debug, PartialEq)]
pub struct SizeClass {
    /// The route.
    pub route: String,
    /// Name of the size class.
    pub size: &'static str,
    /// Number of requests.
    pub count: usize,
    /// Number of requests served on time.
    pub on_time: usize,
}

/// One request with its reason and worth.
#[derive(Clone, Debug)]
struct ClassifiedRequest {
    route: String,
    prompt_tokens: u64,
    arrived_ms: i64,
    reason: Reason,
    worth: f64,
}

/// All requests found in the logs, each with its reason and worth.
#[derive(Clone, Debug, Default)]
pub struct LossReport {
    requests: Vec<ClassifiedRequest>,
}

impl LossReport {
    /// Builds the report from log lines of all nodes, in any order.
    ///
    /// `worth_of` returns the worth of a request of a route's mean size. Requests without a logged
    /// route are left out.
    pub fn new<'a>(lines: impl Iterator<Item = &'a str>, worth_of: impl Fn(&str) -> f64) -> Self {
        let mut requests: HashMap<String, Request> = HashMap::new();
        for line in lines.filter_map(LogLine::parse) {
            if let Some(id) = line.request.clone() {
                requests.entry(id).or_default().add_line(line);
            }
        }
        let known = requests.into_values().filter(|r| r.route.is_some());
        let known: Vec<Request> = known.collect();
        let means = mean_sizes(&known);
        let requests = known.into_iter().map(|r| {
            let reason = r.reason();
            let route = r.route.unwrap_or_default();
            let mean = means.get(&route).copied().unwrap_or(0.0);
            ClassifiedRequest {
                worth: worth_of(&route) * worth_by_size(r.prompt_tokens, mean),
                route,
                prompt_tokens: r.prompt_tokens,
                arrived_ms: r.arrived_ms,
                reason,
            }
        });
        Self {
            requests: requests.collect(),
        }
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request was found.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Totals by route and reason.
    pub fn rows(&self) -> Vec<ReasonTotals> {
        let mut rows: BTreeMap<(String, usize), ReasonTotals> = BTreeMap::new();
        for request in &self.requests {
            let rank = Reason::ALL.iter().position(|r| *r == request.reason);
            let key = (request.route.clone(), rank.unwrap_or(Reason::ALL.len()));
            let row = rows.entry(key).or_insert_with(|| ReasonTotals {
                route: request.route.clone(),
                reason: request.reason,
                count: 0,
                worth: 0.0,
            });
            row.count += 1;
            row.worth += request.worth;
        }
        rows.into_values().collect()
    }

    /// Totals by the second of arrival.
    pub fn seconds(&self) -> Vec<SecondTotals> {
        let Some(first) = self.requests.iter().map(|r| r.arrived_ms).min() else {
            return Vec::new();
        };
        let mut seconds: BTreeMap<i64, SecondTotals> = BTreeMap::new();
        for request in &self.requests {
            let offset_s = request.arrived_ms.saturating_sub(first) / 1000;
            let second = seconds.entry(offset_s).or_default();
            second.offset_s = offset_s;
            second.count += 1;
            second.worth += request.worth;
            if request.reason != Reason::OnTime {
                *second.lost.entry(request.reason).or_default() += request.worth;
            }
        }
        seconds.into_values().collect()
    }

    /// Requests on time by route and size class: the largest tenth, the next fifth and the others.
    pub fn size_classes(&self) -> Vec<SizeClass> {
        let mut by_route: BTreeMap<&str, Vec<&ClassifiedRequest>> = BTreeMap::new();
        for request in &self.requests {
            by_route.entry(&request.route).or_default().push(request);
        }
        let mut classes = Vec::new();
        for (route, mut requests) in by_route {
            requests.sort_by_key(|r| std::cmp::Reverse(r.prompt_tokens));
            let largest = requests.len().div_ceil(LARGEST_DIVISOR);
            let large = (largest + requests.len().div_ceil(LARGE_DIVISOR)).min(requests.len());
            for (size, part) in [
                ("largest tenth", &requests[..largest]),
                ("fifth below", &requests[largest..large]),
                ("others", &requests[large..]),
            ] {
                classes.push(SizeClass {
                    route: route.to_owned(),
                    size,
                    count: part.len(),
                    on_time: part.iter().filter(|r| r.reason == Reason::OnTime).count(),
                });
            }
        }
        classes
    }
}

fn mean_sizes(requests: &[Request]) -> HashMap<String, f64> {
    let mut sums: HashMap<String, (f64, f64)> = HashMap::new();
    for request in requests {
        let route = request.route.clone().unwrap_or_default();
        let (sum, count) = sums.entry(route).or_default();
        *sum += request.prompt_tokens as f64;
        *count += 1.0;
    }
    let means = sums
        .into_iter()
        .map(|(route, (sum, count))| (route, sum / count));
    means.collect()
}

/// Worth of a request relative to one of the mean size; 1 if no sizes were logged.
fn worth_by_size(tokens: u64, mean: f64) -> f64 {
    if mean <= 0.0 {
        return 1.0;
    }
    (FIXED_WORTH + SIZED_WORTH * tokens as f64 / mean).min(MAX_WORTH)
}
