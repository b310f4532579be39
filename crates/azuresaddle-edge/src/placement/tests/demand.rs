//! Tests of what the owner reports of the demand.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PassOptions, PassPool, StreamOutcome};
use tokio::time::Instant;

use super::dispatches::{engine, make_request};
use crate::metrics::Metrics;
use crate::placement::demand_reporter::DemandReporter;
use crate::placement::owner_state::OwnerState;

/// Metrics of an owner after 5 s with 20 short prompts a second and 2 s with 100.
async fn metrics_after_a_rise(forecast: bool) -> String {
    let options = PassOptions {
        forecast,
        ..PassOptions::default()
    };
    let metrics = Metrics::new();
    let mut state = OwnerState {
        demand: DemandReporter::new(metrics.clone()),
        ..OwnerState::default()
    };
    let mut pool = PassPool::new(options, engine());
    let (name, domain) = (HostName::new("e1"), FailureDomain::new("d1"));
    pool.upsert_engine(Instant::now(), &name, &domain, false);
    state.pools.insert(Arc::from("svc"), pool);
    let distances = std::iter::repeat_n(50, 100).chain(std::iter::repeat_n(10, 200));
    for (number, distance_ms) in (0..).zip(distances) {
        tokio::time::advance(Duration::from_millis(distance_ms)).await;
        let now = Instant::now();
        let request = make_request(now, number);
        let id = request.id;
        let pool = state.pools.get_mut("svc").expect("the pool");
        pool.enqueue(now, request);
        pool.end(now, id, &StreamOutcome::Cancelled);
        state.dispatch(now);
    }
    metrics.text()
}

/// Guards against changes of demand that an operator cannot see.
#[tokio::test(start_paused = true)]
async fn a_rise_of_demand_is_counted_and_the_forecast_shown() {
    let text = metrics_after_a_rise(true).await;
    let labels = "{service=\"svc\",sort=\"short\"}";
    let value = |name: &str| {
        let prefix = format!("azuresaddle_{name}{labels} ");
        let line = text.lines().find_map(|l| l.strip_prefix(&prefix));
        line.and_then(|v| v.parse::<f64>().ok())
    };
    assert_eq!(value("demand_changes_total"), Some(1.0), "{text}");
    let expected = value("expected_arrivals").expect("a value");
    assert!((80.0..120.0).contains(&expected), "{expected}");
}

#[tokio::test(start_paused = true)]
async fn no_demand_is_reported_without_a_forecast() {
    let text = metrics_after_a_rise(false).await;
    assert!(!text.contains("sort="), "{text}");
}
