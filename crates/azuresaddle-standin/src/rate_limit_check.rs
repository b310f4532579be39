//! What a target that limits its rate may get from all nodes together.

use std::time::Duration;

/// Time after the first announcement of a limit from which nodes must follow it.
pub const ADJUSTMENT_TIME: Duration = Duration::from_secs(3);

/// Time over which requests are counted, wherever it begins.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Times of the limit that a span may hold.
const RATE_TOLERANCE: f64 = 1.5;

/// Requests that a span may hold beyond that.
const BURST_ALLOWANCE: usize = 5;

/// Most requests that may arrive in a span, for a limit in requests per second.
pub fn max_requests_in_window(rate: f64) -> usize {
    (RATE_TOLERANCE * rate * WINDOW.as_secs_f64()) as usize + BURST_ALLOWANCE
}

/// Most requests that arrived in one span; times since any common moment, in their order.
pub fn peak_requests_in_window(arrivals: &[Duration]) -> usize {
    let in_window = |(n, first): (usize, &Duration)| {
        let rest = arrivals[n..].iter();
        rest.take_while(|at| **at < *first + WINDOW).count()
    };
    arrivals
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}
