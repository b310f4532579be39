//! Signals that a stand-in target sends to the nodes in response headers.

use std::time::Duration;

use azuresaddle_platform::headers;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

/// Signals that a target announces in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Rate limit across all nodes, in requests per second.
    pub rate_limit: Option<f64>,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// Back-off sent with each answer; while it is set, the target rejects every request.
    pub back_off: Option<Duration>,
}

impl Signals {
    /// Adds the signals to the headers of an answer.
    pub(super) fn add_to(&self, map: &mut HeaderMap) {
        let mut insert = |name, text: String| {
            if let Ok(value) = HeaderValue::from_str(&text) {
                map.insert(name, value);
            }
        };
        if let Some(limit) = self.rate_limit {
            insert(headers::RATE_LIMIT, limit.to_string());
        }
        if self.is_draining {
            insert(headers::DRAINING, "1".to_owned());
        }
        if let Some(back_off) = self.back_off {
            insert(RETRY_AFTER, back_off.as_secs_f64().to_string());
        }
    }
}
