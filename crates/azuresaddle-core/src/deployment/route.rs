//! A route, which assigns requests to services.

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

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host name in the caller's request.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request that may have run can be sent again after a failure.
    pub idempotency: Idempotency,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Time limit for a whole request.
    pub timeout: Duration,
    /// Time within which an answer (or the first event of a stream) is on time.
    pub latency_target: Duration,
    /// Maximum pause between events for a stream to be on time.
    pub pause_target: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// The service at `fraction` (from 0 to 1) of the cumulative weights.
    pub fn pick_service(&self, fraction: f64) -> Option<&Arc<str>> {
        let total: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let mut left = fraction * total;
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
