//! Metrics of a node, in the OpenMetrics text format.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azuresaddle_core::byte_budget::{ByteBudget, HeldFor};
use azuresaddle_core::panics::panic_count;
use azuresaddle_core::prelude::*;
use hyper::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tokio::time::Instant;

use crate::control_progress::ControlProgress;

/// Upper bounds of the latency histograms, in seconds: around the usual latency targets of 0.1, 0.3,
/// 1.5 and 3 s.
const LATENCY_BOUNDS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 5.0, 10.0, 15.0,
];

/// Labels of answers to callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    service: String,
    status: u16,
}

/// Labels of sends to targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SendLabels {
    service: String,
    result: &'static str,
}

/// Label of metrics that are counted by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    service: String,
}

/// Labels of the targets' signals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    signal: &'static str,
}

/// Labels of silences of targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SilenceLabels {
    service: String,
    end: &'static str,
}

/// Labels of sends that were held back by a rate limit or a back-off.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabels {
    service: String,
    reason: &'static str,
}

/// Labels of fetches of targets from other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FetchLabels {
    scope: &'static str,
}

/// Labels of address lookups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LookupLabels {
    answer: &'static str,
}

/// Labels of refusals by admission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    service: String,
    when: &'static str,
}

/// Labels of tunnels to targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TunnelLabels {
    result: &'static str,
}

/// Labels of the demand for a service by sort of prompt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DemandLabels {
    service: String,
    sort: &'static str,
}

/// Label of buffered bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldForLabels {
    r#for: &'static str,
}

/// Label of peers that stopped reading.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SideLabels {
    side: &'static str,
}

/// Labels of requests that the stop of the node ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StopLabels {
    service: String,
    verdict: String,
}

/// All metrics of a node; cheap to clone.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    answers: Family<AnswerLabels, Counter>,
    sends: Family<SendLabels, Counter>,
    target_crashes: Family<ServiceLabels, Counter>,
    first_event: Family<ServiceLabels, Histogram>,
    placement_wait: Family<ServiceLabels, Histogram>,
    answer_time: Family<ServiceLabels, Histogram>,
    pub(crate) configuration_version: Gauge<u64, AtomicU64>,
    pub(crate) newest_configuration_version: Gauge<u64, AtomicU64>,
    control_age: Gauge<f64, AtomicU64>,
    store_age: Gauge<f64, AtomicU64>,
    panics: Counter,
    pub(crate) targets: Gauge,
    pub(crate) cold_targets: Gauge,
    pub(crate) drained_domains: Gauge,
    pub(crate) nodes: Gauge,
    pub(crate) is_owner: Gauge,
    pub(crate) store_failures: Counter,
    pub(crate) store_rollbacks: Counter,
    fetches: Family<FetchLabels, Counter>,
    pub(crate) owner_claims: Counter,
    pub(crate) quarantines: Counter,
    quarantine_refusals: Family<ServiceLabels, Counter>,
    target_signals: Family<SignalLabels, Counter>,
    held_back: Family<HeldLabels, Counter>,
    pub(crate) unreadable_signals: Counter,
    pub(crate) ejected_targets: Gauge,
    pub(crate) target_ejections: Counter,
    lookups: Family<LookupLabels, Counter>,
    pub(crate) load_level: Gauge,
    admission_refusals: Family<AdmissionLabels, Counter>,
    demand_changes: Family<DemandLabels, Counter>,
    expected_arrivals: Family<DemandLabels, Gauge<f64, AtomicU64>>,
    held_bytes: Family<HeldForLabels, Gauge>,
    slow_readers: Family<SideLabels, Counter>,
    pub(crate) body_refusals: Counter,
    pub(crate) is_cut_off: Gauge,
    pub(crate) tunnels_used: Counter,
    tunnel_requests: Family<TunnelLabels, Counter>,
    ended_by_stop: Family<StopLabels, Counter>,
    silences: Family<SilenceLabels, Counter>,
    pub(crate) traffic_stalls: Counter,
    pub(crate) control_stalls: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("azuresaddle");
        let metrics = Self {
            answers: Family::default(),
            sends: Family::default(),
            target_crashes: Family::default(),
            first_event: Family::new_with_constructor(latency_histogram),
            placement_wait: Family::new_with_constructor(latency_histogram),
            answer_time: Family::new_with_constructor(latency_histogram),
            configuration_version: Gauge::default(),
            newest_configuration_version: Gauge::default(),
            control_age: Gauge::default(),
            store_age: Gauge::default(),
            panics: Counter::default(),
            targets: Gauge::default(),
            cold_targets: Gauge::default(),
            drained_domains: Gauge::default(),
            nodes: Gauge::default(),
            is_owner: Gauge::default(),
            store_failures: Counter::default(),
            store_rollbacks: Counter::default(),
            fetches: Family::default(),
            owner_claims: Counter::default(),
            quarantines: Counter::default(),
            quarantine_refusals: Family::default(),
            target_signals: Family::default(),
            held_back: Family::default(),
            unreadable_signals: Counter::default(),
            ejected_targets: Gauge::default(),
            target_ejections: Counter::default(),
            lookups: Family::default(),
            load_level: Gauge::default(),
            admission_refusals: Family::default(),
            demand_changes: Family::default(),
            expected_arrivals: Family::default(),
            held_bytes: Family::default(),
            slow_readers: Family::default(),
            body_refusals: Counter::default(),
            is_cut_off: Gauge::default(),
            tunnels_used: Counter::default(),
            tunnel_requests: Family::default(),
            ended_by_stop: Family::default(),
            silences: Family::default(),
            traffic_stalls: Counter::default(),
            control_stalls: Counter::default(),
            registry: Arc::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry: Arc::new(registry),
            ..metrics
        }
    }

    fn register(&self, r: &mut Registry) {
        r.register(
            "answers",
            "Answers to callers by status",
            self.answers.clone(),
        );
        r.register("sends", "Sends to targets by result", self.sends.clone());
        let help = "Whether this node has lost its paths to the targets";
        r.register("cut_off", help, self.is_cut_off.clone());
        let help = "Connections to targets through other nodes";
        r.register("tunnels_used", help, self.tunnels_used.clone());
        let help = "Requests of other nodes for tunnels to targets, by result";
        r.register("tunnel_requests", help, self.tunnel_requests.clone());
        let help = "Requests under which a target has ended";
        r.register("target_crashes", help, self.target_crashes.clone());
        let help = "Time from a request's arrival to its first event";
        r.register("first_event_seconds", help, self.first_event.clone());
        let help = "Time that a request waited for engines";
        r.register("placement_wait_seconds", help, self.placement_wait.clone());
        let help = "Time from a request's arrival to its answer";
        r.register("answer_seconds", help, self.answer_time.clone());
        let help = "Version of the configuration in force; 0 for none";
        r.register(
            "configuration_version",
            help,
            self.configuration_version.clone(),
        );
        let help = "Latest version of the configuration that any live node has in force";
        let newest = self.newest_configuration_version.clone();
        r.register("newest_configuration_version", help, newest);
        let help = "Time since control last checked its state";
        r.register("control_age_seconds", help, self.control_age.clone());
        let help = "Time since the store last answered this node; infinite before the first answer";
        r.register("store_age_seconds", help, self.store_age.clone());
        let help = "Panics of tasks and threads";
        r.register("panics", help, self.panics.clone());
        let help = "Targets that are cold after their start";
        r.register("cold_targets", help, self.cold_targets.clone());
        let help = "Failure domains that the operator drains";
        r.register("drained_domains", help, self.drained_domains.clone());
        r.register(
            "targets",
            "Targets that take new work",
            self.targets.clone(),
        );
        r.register(
            "nodes",
            "Live nodes, this one among them",
            self.nodes.clone(),
        );
        let help = "1 where this node places streams";
        r.register("owner", help, self.is_owner.clone());
        let help = "Times that the store stopped answering";
        r.register("store_failures", help, self.store_failures.clone());
        let help = "Times that the store came back from an older copy";
        r.register("store_returns", help, self.store_rollbacks.clone());
        let help = "Fetches of what other nodes know of the targets, by scope";
        r.register("target_fetches", help, self.fetches.clone());
        let help = "Times that this node claimed to place streams: the first of a fleet, or after a silent owner";
        r.register("owner_claims", help, self.owner_claims.clone());
        let help = "Requests that this node came to keep from all targets, since they crash them";
        r.register("quarantines", help, self.quarantines.clone());
        let help = "Requests that were not sent on since they are in quarantine";
        r.register(
            "quarantine_refusals",
            help,
            self.quarantine_refusals.clone(),
        );
        let help =
            "Times that targets set or lifted a rate limit, began to drain, or asked to back off";
        r.register("target_signals", help, self.target_signals.clone());
        let help = "Sends that were held back by a target's rate limit or back-off";
        r.register("sends_held_back", help, self.held_back.clone());
        let help = "Signal headers of targets with an invalid value";
        r.register("unreadable_signals", help, self.unreadable_signals.clone());
        let help = "Plain targets that this node does not send to, or only on trial";
        r.register("ejected_targets", help, self.ejected_targets.clone());
        let help = "Times that plain targets were ejected for this node";
        r.register("target_ejections", help, self.target_ejections.clone());
        let help =
            "Address lookups: with addresses selected for the caller, or the first of one ranking";
        r.register("lookups", help, self.lookups.clone());
        let help = "Load level of this host, from 0 to 3; higher levels get fewer callers";
        r.register("load_level", help, self.load_level.clone());
        let help = "Streams that admission refused, on arrival or after a wait";
        r.register("admission_refusals", help, self.admission_refusals.clone());
        let help = "Changes of the level of demand that the forecast found";
        r.register("demand_changes", help, self.demand_changes.clone());
        let help = "Prompts per second that the forecast expects; 0 without a forecast";
        r.register("expected_arrivals", help, self.expected_arrivals.clone());
        let help = "Bytes that are buffered for callers and for targets";
        r.register("held_bytes", help, self.held_bytes.clone());
        let help = "Callers that were disconnected, and targets that were avoided, since they stopped reading";
        r.register("slow_readers", help, self.slow_readers.clone());
        let help = "Requests that were refused since their body did not fit into the byte budget";
        r.register("body_refusals", help, self.body_refusals.clone());
        let help = "Requests without an answer that were ended by the stop of the node";
        r.register("ended_by_stop", help, self.ended_by_stop.clone());
        let help = "Silences of targets during streams, by how they ended";
        r.register("silences", help, self.silences.clone());
        let help = "Times in which the thread for traffic ran nothing for a second";
        r.register("traffic_stalls", help, self.traffic_stalls.clone());
        let help = "Times in which control checked nothing for a second";
        r.register("control_stalls", help, self.control_stalls.clone());
    }

    /// Counts an answer to a caller.
    pub(crate) fn on_answer(&self, service: &str, status: StatusCode, took: Duration) {
        let labels = AnswerLabels {
            service: service.to_owned(),
            status: status.as_u16(),
        };
        self.answers.get_or_create(&labels).inc();
        observe(&self.answer_time, service, took);
    }

    /// Counts a send to a target.
    pub(crate) fn on_send(&self, service: &str, result: &'static str) {
        let labels = SendLabels {
            service: service.to_owned(),
            result,
        };
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts a fetch from another node: of all targets if `is_full`, else of changes.
    pub(crate) fn on_fetch(&self, is_full: bool) {
        let scope = if is_full { "all" } else { "changes" };
        self.fetches.get_or_create(&FetchLabels { scope }).inc();
    }

    /// Counts a request whose target crashed while it ran the request.
    pub(crate) fn on_target_crash(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.target_crashes.get_or_create(&labels).inc();
    }

    /// Counts a request that was not forwarded because it is in quarantine.
    pub(crate) fn on_quarantine_refusal(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.quarantine_refusals.get_or_create(&labels).inc();
    }

    /// Counts a send that was held back by a target's rate limit or back-off.
    pub(crate) fn on_held_back(&self, service: &str, reason: &'static str) {
        let labels = HeldLabels {
            service: service.to_owned(),
            reason,
        };
        self.held_back.get_or_create(&labels).inc();
    }

    /// Counts another node's request for a tunnel.
    pub(crate) fn on_tunnel_requested(&self, result: &'static str) {
        let labels = TunnelLabels { result };
        self.tunnel_requests.get_or_create(&labels).inc();
    }

    /// Counts streams that admission refused.
    pub(crate) fn on_admission_refusals(&self, service: &str, when: &'static str, count: u64) {
        let labels = AdmissionLabels {
            service: service.to_owned(),
            when,
        };
        self.admission_refusals.get_or_create(&labels).inc_by(count);
    }

    /// Counts a signal of a target.
    pub(crate) fn on_target_signal(&self, signal: &'static str) {
        let labels = SignalLabels { signal };
        self.target_signals.get_or_create(&labels).inc();
    }

    /// Counts an address lookup.
    pub(crate) fn on_lookup(&self, answer: &'static str) {
        self.lookups.get_or_create(&LookupLabels { answer }).inc();
    }

    /// Counts a change of the level of demand.
    pub(crate) fn on_demand_change(&self, service: &str, sort: &'static str) {
        let labels = DemandLabels {
            service: service.to_owned(),
            sort,
        };
        self.demand_changes.get_or_create(&labels).inc();
    }

    /// Sets the expected arrivals per second.
    pub(crate) fn on_expected_arrivals(&self, service: &str, sort: &'static str, per_s: f64) {
        let labels = DemandLabels {
            service: service.to_owned(),
            sort,
        };
        self.expected_arrivals.get_or_create(&labels).set(per_s);
    }

    /// Records the time from a request's arrival to its first event.
    pub(crate) fn on_first_event(&self, service: &str, took: Duration) {
        observe(&self.first_event, service, took);
    }

    /// Records the time that a request waited for engines.
    pub(crate) fn on_placed(&self, service: &str, waited: Duration) {
        observe(&self.placement_wait, service, waited);
    }

    /// Counts a `caller` or `target` that stopped reading.
    pub(crate) fn on_slow_reader(&self, side: &'static str) {
        self.slow_readers.get_or_create(&SideLabels { side }).inc();
    }

    /// Counts a request that the stop of the node ended.
    pub(crate) fn on_ended_by_stop(&self, service: &str, verdict: Verdict) {
        let labels = StopLabels {
            service: service.to_owned(),
            verdict: verdict.to_string(),
        };
        self.ended_by_stop.get_or_create(&labels).inc();
    }

    /// Counts a silence of a target during a stream: the target `went-on`, another one has `taken-over`, or the answer
    /// `ended`.
    pub(crate) fn on_silence(&self, service: &str, end: &'static str) {
        let service = service.to_owned();
        let labels = SilenceLabels { service, end };
        self.silences.get_or_create(&labels).inc();
    }

    /// Sets the gauges of buffered bytes to their present values.
    pub(crate) fn set_held_bytes(&self, budget: &ByteBudget) {
        for (label, held_for) in [("caller", HeldFor::Caller), ("target", HeldFor::Target)] {
            let labels = HeldForLabels { r#for: label };
            let bytes = i64::try_from(budget.held(held_for)).unwrap_or(i64::MAX);
            self.held_bytes.get_or_create(&labels).set(bytes);
        }
    }

    /// Sets the metrics of control's progress to their present values.
    pub(crate) fn set_progress(&self, progress: &ControlProgress) {
        let now = Instant::now();
        self.control_age.set(progress.idle_for(now).as_secs_f64());
        let store_age = progress.store_age(now);
        self.store_age
            .set(store_age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        self.panics.inner().store(panic_count(), Ordering::Relaxed);
    }

    /// All metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

fn observe(family: &Family<ServiceLabels, Histogram>, service: &str, took: Duration) {
    let labels = ServiceLabels {
        service: service.to_owned(),
    };
    family.get_or_create(&labels).observe(took.as_secs_f64());
}
