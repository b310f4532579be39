//! A rule that sends requests to services.

use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part, against the sum of all weights of the route.
    pub weight: u32,
}

/// What happens with requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host that the caller names.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run again after a failure.
    pub idempotency: Idempotency,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer (or the first event) is on time.
    pub latency_target: Duration,
    /// Longest pause between events of an answer on time.
    pub pause_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests go to.
    pub services: Vec<WeightedService>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
}

impl Route {
    /// The service at a position between 0 and 1 of the weights.
    pub fn pick_service(&self, fraction: f64) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut left = fraction * f64::from(total);
        for s in &self.services {
            left -= f64::from(s.weight);
            if left < 0.0 {
                return Some(&s.service);
            }
        }
        self.services
            .iter()
            .rfind(|s| s.weight > 0)
            .map(|s| &s.service)
    }
}
