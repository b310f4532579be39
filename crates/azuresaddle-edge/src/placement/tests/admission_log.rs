//! Tests of the log and the metrics of refusals.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_sched::passes::RefusalCounts;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::placement::admission_log::AdmissionLog;

/// Guards against refusals that operators can't see, and overloads that never end in the log.
#[tokio::test(start_paused = true)]
async fn refusals_are_counted_and_an_overload_ends_after_a_second_without_any() {
    let now = Instant::now();
    let metrics = Metrics::new();
    let mut log = AdmissionLog::new(metrics.clone());
    let service: Arc<str> = Arc::from("svc");
    let counts = RefusalCounts {
        on_arrival: 3,
        after_wait: 1,
    };
    log.on_refusals(now, &service, RefusalCounts::default());
    assert_eq!(log.overloads(), 0);
    log.on_refusals(now, &service, counts);
    let later = now + Duration::from_millis(800);
    log.on_refusals(later, &service, counts);
    log.end_overloads(later + Duration::from_millis(800));
    assert_eq!(log.overloads(), 1);
    log.end_overloads(later + Duration::from_millis(1000));
    assert_eq!(log.overloads(), 0);
    let text = metrics.text();
    let line = "azuresaddle_admission_refusals_total{service=\"svc\",when=\"arrival\"} 6";
    assert!(text.contains(line), "{text}");
}
