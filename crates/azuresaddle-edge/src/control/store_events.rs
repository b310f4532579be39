//! Handles events from the store.

use std::sync::Arc;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{
    KeyKind, NodeKey, StoreItem, decode_configuration, drained_domain, key_kind,
};
use tokio::time::Instant;

use super::actor::Control;
use super::store_event::StoreEvent;

impl<N: Network> Control<N> {
    /// Handles a store event; true if there are changes to publish.
    pub(super) fn on_store_event(&mut self, event: StoreEvent) -> bool {
        let era = self.registry.position().era;
        let changed = self.apply_store_event(event);
        // Nodes that cannot reach the store learn of a rollback from this one.
        changed || self.registry.position().era != era
    }

    fn apply_store_event(&mut self, event: StoreEvent) -> bool {
        let now = Instant::now();
        if !matches!(event, StoreEvent::Unreachable { .. }) {
            self.store_answered_at = Some(now);
            self.snapshots.progress().on_store_answer(now);
        }
        match event {
            StoreEvent::Reconnected => {
                tracing::info!(part = "control", "store answers again");
                self.is_store_unreachable = false;
                self.registry.on_store_reconnected(now);
                false
            }
            StoreEvent::Unreachable { reason } => {
                tracing::warn!(part = "control", reason, "store stopped answering");
                self.store_answered_at = None;
                self.is_store_unreachable = true;
                self.metrics.store_failures.inc();
                false
            }
            StoreEvent::Era(era) => {
                self.registry.on_era(now, era);
                self.detect_rollback();
                false
            }
            StoreEvent::Listing { items, at } => {
                let had_all_targets = self.has_all_targets();
                self.has_listed_store = true;
                self.on_crash_listing(now, &items);
                self.on_node_listing(&items);
                let (targets, others): (Vec<_>, Vec<_>) = items
                    .into_iter()
                    .partition(|i| key_kind(&i.key) == KeyKind::Target);
                let listed = others.iter().filter_map(|i| drained_domain(&i.key));
                let listed: Vec<FailureDomain> = listed.collect();
                let mut changed = self.registry.apply_listing(now, targets, at);
                changed |= self.registry.end_unlisted_drains(now, &listed, at);
                self.registry.on_caught_up();
                // Other nodes learn that this one has all targets now.
                changed |= !had_all_targets;
                self.on_items(now, others) | changed
            }
            StoreEvent::Page(items) => {
                let covers_nodes = items.last().is_some_and(|i| NodeKey::all_precede(&i.key));
                let changed = self.on_items(now, items);
                if covers_nodes {
                    self.node_entries.on_complete();
                }
                changed
            }
            StoreEvent::Nodes(items) => {
                let changed = self.on_items(now, items);
                self.node_entries.on_complete();
                changed
            }
            StoreEvent::Changes { items, at } => {
                let changed = self.on_items(now, items);
                self.registry.on_read_up_to(at);
                self.registry.on_caught_up();
                changed
            }
        }
    }

    fn on_items(&mut self, now: Instant, items: Vec<StoreItem>) -> bool {
        let all = items.into_iter();
        all.fold(false, |changed, item| self.on_item(now, item) | changed)
    }

    pub(super) fn on_item(&mut self, now: Instant, item: StoreItem) -> bool {
        match key_kind(&item.key) {
            KeyKind::Target => self.registry.apply(now, item),
            KeyKind::DomainDrain => self.registry.apply_drain_item(now, &item),
            KeyKind::Configuration => item
                .value
                .is_some_and(|json| self.on_configuration(json, "the store")),
            KeyKind::Crash => {
                self.on_crash_item(now, &item);
                false
            }
            KeyKind::Node => {
                self.node_entries.apply(&item);
                false
            }
            KeyKind::Other => false,
        }
    }

    pub(super) fn on_configuration(&mut self, json: Vec<u8>, source: &str) -> bool {
        let configuration = match decode_configuration(&json) {
            Ok(configuration) => configuration,
            Err(e) => {
                tracing::error!(part = "control", error = %e, "invalid configuration rejected");
                return false;
            }
        };
        let version = configuration.version.0;
        if version <= self.version() {
            return false;
        }
        if self.configuration.is_none() && !self.may_start_serving(Instant::now(), version) {
            self.defer_configuration(version, json);
            return false;
        }
        tracing::info!(
            part = "control",
            version,
            routes = configuration.route_count(),
            source,
            "configuration in force"
        );
        self.start_gate
            .serving_since
            .get_or_insert_with(Instant::now);
        self.configuration = Some(Arc::new(configuration));
        self.raw_configuration = Some(Arc::new(json));
        true
    }
}
