//! Checks how many requests a rate-limited target receives from all nodes together.

use std::time::Duration;

/// Time after the first announcement of a limit by which nodes must comply with it.
pub const ADJUSTMENT_TIME: Duration = Duration::from_secs(3);

/// Length of the window in which requests are counted; the check holds for every window.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Number of requests in a window, as a multiple of what the limit permits.
const RATE_TOLERANCE: f64 = 1.5;

/// Requests that a window may hold in addition.
const BURST_ALLOWANCE: usize = 5;

/// Maximum number of requests that may arrive in a window, for a limit in requests per second.
pub fn max_requests_in_window(rate: f64) -> usize {
    (RATE_TOLERANCE * rate * WINDOW.as_secs_f64()) as usize + BURST_ALLOWANCE
}

/// Largest number of requests that arrived in any one window of the given length. The arrival times are sorted and
/// relative to any common start.
pub fn peak_requests_in_window(arrivals: &[Duration], window: Duration) -> usize {
    let in_window = |(n, first): (usize, &Duration)| {
        let rest = arrivals[n..].iter();
        rest.take_while(|at| **at < *first + window).count()
    };
    arrivals
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}
