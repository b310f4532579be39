//! Tests of answers that the node generates itself.

use std::time::Duration;

use hyper::header::RETRY_AFTER;

use crate::forward::refusal;

#[test]
fn retry_after_is_spread_over_half_of_the_wait() {
    let seconds: Vec<f64> = (0..40)
        .map(|_| {
            let answer = refusal("no engine is free", Duration::from_secs(2));
            let value = answer.headers()[RETRY_AFTER].to_str().unwrap();
            value.parse().unwrap()
        })
        .collect();
    assert!(seconds.iter().all(|s| (2.0..=3.0).contains(s)));
    let earliest = seconds.iter().copied().fold(f64::MAX, f64::min);
    let latest = seconds.iter().copied().fold(0.0, f64::max);
    assert!(latest - earliest > 0.5, "{seconds:?}");
}
