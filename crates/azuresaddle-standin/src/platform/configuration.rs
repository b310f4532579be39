//! Builds configuration documents in the form in which the operator writes them.

use serde_json::{Value, json};

/// A route.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Name of the service that handles the requests.
    pub service: String,
    /// Route type: `idempotent`, `non_idempotent` or `streaming`.
    pub kind: &'static str,
    /// Whether an interrupted stream may be resumed on another target.
    pub resumable: bool,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events with which a stream is on time, in milliseconds.
    pub gap_ms: u64,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Whether its targets are engines.
    pub is_engine: bool,
    /// Requests per second that a cold target tolerates; 0 for any number.
    pub cold_rate: f64,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct AccountSpec {
    /// Name.
    pub name: String,
    /// API keys.
    pub keys: Vec<String>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationSpec {
    /// Version.
    pub version: u64,
    /// Host name of all routes.
    pub host: String,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Client accounts.
    pub accounts: Vec<AccountSpec>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time without traffic after which a caller's connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl ConfigurationSpec {
    /// Returns the configuration as a JSON document.
    pub fn to_json(&self) -> String {
        let routes: Vec<Value> = self.routes.iter().map(|r| self.route_json(r)).collect();
        let services: Vec<Value> = self.services.iter().map(service_json).collect();
        let accounts = self.accounts.iter();
        let tenants: Vec<Value> = accounts
            .map(|a| json!({"name": a.name, "api_keys": a.keys, "priority": 1}))
            .collect();
        json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 1000,
                "idle_timeout_ms": self.idle_timeout_ms,
            },
            "tenants": tenants,
        })
        .to_string()
    }

    fn route_json(&self, route: &RouteSpec) -> Value {
        json!({
            "name": format!("r{}", route.prefix.replace('/', "-")),
            "host": self.host,
            "prefix": route.prefix,
            "route_type": route.kind,
            "timeout_ms": route.timeout_ms,
            "target_latency_ms": route.target_ms,
            "target_gap_ms": route.gap_ms,
            "priority": 1,
            "service": route.service,
            "max_attempts": route.attempts,
            "public": false,
            "resumable": route.resumable,
        })
    }
}

fn service_json(service: &ServiceSpec) -> Value {
    let mut value = json!({
        "name": service.name,
        "health_path": "/healthz",
        "max_connections": 200,
        "cold_start_s": 3.0,
        "cold_per_s": service.cold_rate,
    });
    if service.is_engine {
        value["engine"] = json!({
            "slots": 16,
            "kv_capacity": 450_000,
            "stride": 46,
            "step_ms": 0.4,
            "per_seq_ms": 0.004,
            "context_per_k": 0.002,
            "read_per_s": 512_000.0,
            "pairs_per_m": 0.02,
            "chunk": 2048,
            "report_lag_ms": 100.0,
            "usual": {"prompt": 5000, "answer": 500},
            "hop_ms": 0.1,
        });
    }
    value
}
