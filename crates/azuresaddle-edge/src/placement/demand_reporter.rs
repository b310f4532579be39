//! Log lines and metrics of the demand that pools forecast.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_sched::passes::{PassPool, Sort};
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Interval at which the metrics are updated. Scrapers read them every few seconds, and a dispatch
/// is a hundred times as frequent.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the demand that the pools forecast.
#[derive(Default)]
pub(super) struct DemandReporter {
    metrics: Metrics,
    next_metrics: Option<Instant>,
}

impl DemandReporter {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            next_metrics: None,
        }
    }

    /// Logs and counts the changes of level since the last call, and updates the metrics if they
    /// are due.
    pub(super) fn report(&mut self, now: Instant, pools: &mut HashMap<Arc<str>, PassPool>) {
        for (service, pool) in pools.iter_mut() {
            for change in pool.take_level_changes() {
                let sort = change.sort.name();
                tracing::info!(
                    part = "forecast",
                    %service,
                    sort,
                    from_per_s = change.from_per_s,
                    to_per_s = change.to_per_s,
                    "level of demand changed"
                );
                self.metrics.on_demand_change(service, sort);
            }
        }
        if self.next_metrics.is_some_and(|at| now < at) {
            return;
        }
        self.next_metrics = Some(now + METRICS_INTERVAL);
        for (service, pool) in pools.iter().filter(|(_, p)| p.has_forecast()) {
            for sort in Sort::ALL {
                let per_s = pool.expected_arrivals(sort).map_or(0.0, |e| e.per_s);
                self.metrics
                    .on_expected_arrivals(service, sort.name(), per_s);
            }
        }
    }
}
