//! Entries of targets and drains of failure domains, as the targets and the operator write them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use super::{FIRST_DOMAIN, StandInPlatform};
use crate::platform::target::{Target, TargetHandle};

impl StandInPlatform {
    pub(super) fn register(&self, target: &Target, state: &str) {
        self.write_entry(target, state, Duration::ZERO);
    }

    fn write_entry(&self, target: &Target, state: &str, cold_for: Duration) {
        let domain = self
            .domains
            .get(&target.id)
            .map_or(FIRST_DOMAIN, String::as_str);
        let entry = json!({
            "service": target.service,
            "address": self.proxy_addrs.get(&target.id).unwrap_or(&target.addr).to_string(),
            "zone": domain,
            "version": "v1",
            "slots": 16,
            "state": state,
            "cold_remaining_ms": cold_for.as_millis() as u64,
            "born": target.started_ms,
            "sequence": target.entries_written.fetch_add(1, Ordering::Relaxed) + 1,
        });
        let key = azuresaddle_platform::target_key(&target.id);
        self.desired_state.write(&key, entry.to_string());
    }

    /// Registers a target again, with the address of a proxy in front of it.
    pub fn register_behind_proxy(&mut self, handle: &TargetHandle, proxy_addr: SocketAddr) {
        let target = &handle.target;
        self.proxy_addrs.insert(target.id.clone(), proxy_addr);
        self.registry.add_alias(target.addr, proxy_addr);
        self.register(target, "ready");
    }

    /// Registers a target again, as one in another failure domain.
    pub fn move_to_domain(&mut self, handle: &TargetHandle, domain: &str) {
        let id = handle.target.id.clone();
        self.domains.insert(id, domain.to_owned());
        self.register(&handle.target, "ready");
    }

    /// Registers a target as cold for a time.
    pub fn register_cold(&self, handle: &TargetHandle, cold_for: Duration) {
        self.write_entry(&handle.target, "ready", cold_for);
    }

    /// Drains a failure domain: asks for no new requests to its targets.
    pub fn drain_domain(&self, domain: &str) {
        self.desired_state
            .write(&domain_drain_key(domain), "{}".to_owned());
    }

    /// Ends the drain of a failure domain.
    pub fn end_domain_drain(&self, domain: &str) {
        self.desired_state.remove(&domain_drain_key(domain));
    }

    /// Registers a target as draining.
    pub fn drain(&self, handle: &TargetHandle) {
        self.register(&handle.target, "draining");
    }

    /// Removes the entry of a target, as the platform does once the target has stopped.
    pub fn deregister(&self, handle: &TargetHandle) {
        let key = azuresaddle_platform::target_key(&handle.target.id);
        self.desired_state.remove(&key);
    }

    /// Stops a target from writing its entry again; the store keeps the current one.
    pub fn abandon_entry(&self, handle: &TargetHandle) {
        let key = azuresaddle_platform::target_key(&handle.target.id);
        self.desired_state.abandon(&key);
    }
}

fn domain_drain_key(domain: &str) -> String {
    format!("op/evacuate/{domain}")
}

/// The entry of a draining target that does not exist, and so gets no requests.
pub fn draining_entry() -> Value {
    json!({
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "d1",
        "version": "v1",
        "slots": 16,
        "state": "draining",
        "cold_remaining_ms": 0,
        "born": 1,
        "sequence": 1,
    })
}
