//! Orders to an engine, which reserve and release memory.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::Engine;
use crate::platform::target::{Target, TargetFault};

/// Delay of an order under [`TargetFault::OrdersLate`].
const LATE_ORDER: Duration = Duration::from_millis(900);

/// Maximum number of concurrent memory reservations.
const MAX_RESERVATIONS: usize = 64;

#[derive(Deserialize)]
struct Order {
    operation: String,
    id: String,
    #[serde(default)]
    token_count: u64,
    #[serde(default)]
    hold_ms: u64,
}

impl Engine {
    /// Executes an order; under a fault of orders, the caller never gets an answer.
    pub(super) async fn handle_order(
        self: Arc<Self>,
        target: &Target,
        req: Request<Incoming>,
    ) -> (StatusCode, String) {
        let Ok(body) = req.into_body().collect().await else {
            return (StatusCode::BAD_REQUEST, String::new());
        };
        let body = body.to_bytes();
        match target.fault() {
            TargetFault::OrdersUnanswered => {
                self.execute_order(&body);
            }
            TargetFault::OrdersLate => {
                // Runs on after the caller has disconnected.
                tokio::spawn(async move {
                    tokio::time::sleep(LATE_ORDER).await;
                    self.execute_order(&body);
                });
            }
            _ => return self.execute_order(&body),
        }
        std::future::pending().await
    }

    fn execute_order(&self, body: &[u8]) -> (StatusCode, String) {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return (StatusCode::BAD_REQUEST, String::new());
        };
        let reserved = self.reserved_tokens();
        let mut state = self.lock();
        match order.operation.as_str() {
            "reserve" => {
                let free = self.spec.memory_tokens.saturating_sub(reserved);
                let is_new = !state.reservations.contains_key(&order.id);
                let is_full = state.reservations.len() >= MAX_RESERVATIONS;
                if is_new && (order.token_count > free || is_full) {
                    return (StatusCode::CONFLICT, String::new());
                }
                let until = Instant::now() + Duration::from_millis(order.hold_ms);
                state
                    .reservations
                    .insert(order.id, (order.token_count, until));
            }
            "release" => {
                state.reservations.remove(&order.id);
            }
            _ => return (StatusCode::BAD_REQUEST, String::new()),
        }
        let used: u64 = state.reservations.values().map(|(tokens, _)| tokens).sum();
        let free = self.spec.memory_tokens.saturating_sub(used);
        (StatusCode::OK, json!({"unallocated": free}).to_string())
    }
}
