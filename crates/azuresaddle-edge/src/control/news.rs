//! What the store and other nodes tell.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Item, Kind, decode_configuration, kind_of};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::NodeNews;
use super::store_watch::StoreEvent;
use crate::peer::PeerNews;

/// Longest wait for news from another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a node gives its own watch to bring what another node already knows.
const NEWS_PATIENCE: Duration = Duration::from_millis(150);

/// Time of being behind after which all targets are fetched, not only the latest changes.
const FULL_PATIENCE: Duration = Duration::from_millis(1000);

impl<N: Network> Control<N> {
    /// Asks a better informed node for its news, once the own watch had its chance.
    pub(super) fn fetch_if_behind(
        &mut self,
        now: Instant,
        news_tx: &mpsc::Sender<Option<PeerNews>>,
    ) {
        let configuration = self.version();
        let targets = self.registry.revision();
        let hash = self.registry.published().hash;
        let is_better = |n: &NodeNews| {
            let differs = n.targets == targets && n.targets_hash != hash;
            n.configuration > configuration || n.targets > targets || differs
        };
        let Some(addr) = self.members.better_informed(now, is_better) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        let behind = now.saturating_duration_since(since);
        let patience = if self.members.should_watch(now) {
            NEWS_PATIENCE
        } else {
            Duration::ZERO
        };
        if self.is_fetching || behind < patience {
            return;
        }
        // Where single changes don't bring both to the same targets, everything does.
        let after = if behind < FULL_PATIENCE { targets } else { 0 };
        self.is_fetching = true;
        let peers = self.peers.clone();
        let tx = news_tx.clone();
        self.spawner.spawn(async move {
            let news = peers
                .call(addr, PEER_TIMEOUT, async |client, cx| {
                    client.news(cx, configuration, after).await
                })
                .await;
            if let Err(e) = &news {
                tracing::debug!(part = "control", %addr, error = %e, "news not fetched");
            }
            // The loop outlives this task.
            let _ = tx.send(news.ok()).await;
        });
    }

    pub(super) fn on_peer_news(&mut self, news: Option<PeerNews>) -> bool {
        self.is_fetching = false;
        let Some(news) = news else {
            return false;
        };
        let mut changed = false;
        if let Some(json) = news.configuration {
            changed |= self.on_configuration(json, "a node");
        }
        let now = Instant::now();
        for target in news.targets {
            changed |= self.registry.apply(now, target.into());
        }
        changed
    }

    pub(super) fn on_store(&mut self, event: StoreEvent) -> bool {
        let now = Instant::now();
        if !matches!(event, StoreEvent::Lost { .. }) {
            self.store_answered_at = Some(now);
        }
        match event {
            StoreEvent::Back => {
                tracing::info!(part = "control", "store regained");
                self.registry.on_store_back(now);
                self.rewrite_crashes();
                false
            }
            StoreEvent::Lost { reason } => {
                tracing::warn!(part = "control", reason, "store lost");
                self.store_answered_at = None;
                self.metrics.store_failures.inc();
                false
            }
            StoreEvent::Listing { items, at } => {
                let (targets, others): (Vec<_>, Vec<_>) = items
                    .into_iter()
                    .partition(|i| kind_of(&i.key) == Kind::Target);
                let changed = self.registry.apply_listing(now, targets, at);
                self.registry.on_caught_up();
                self.on_items(now, others) | changed
            }
            StoreEvent::Page(items) => self.on_items(now, items),
            StoreEvent::Changes(items) => {
                let changed = self.on_items(now, items);
                self.registry.on_caught_up();
                changed
            }
        }
    }

    fn on_items(&mut self, now: Instant, items: Vec<Item>) -> bool {
        let all = items.into_iter();
        all.fold(false, |changed, item| self.on_item(now, item) | changed)
    }

    pub(super) fn on_item(&mut self, now: Instant, item: Item) -> bool {
        match kind_of(&item.key) {
            Kind::Target => self.registry.apply(now, item),
            Kind::Configuration => item
                .value
                .is_some_and(|json| self.on_configuration(json, "the store")),
            Kind::Crash => {
                self.on_crash_item(&item);
                false
            }
            Kind::Other => false,
        }
    }

    pub(super) fn on_configuration(&mut self, json: Vec<u8>, source: &str) -> bool {
        let configuration = match decode_configuration(&json) {
            Ok(configuration) => configuration,
            Err(e) => {
                tracing::error!(part = "control", error = %e, "configuration refused");
                return false;
            }
        };
        if configuration.version.0 <= self.version() {
            return false;
        }
        tracing::info!(
            part = "control",
            version = configuration.version.0,
            routes = configuration.route_count(),
            source,
            "configuration in force"
        );
        self.configuration = Some(Arc::new(configuration));
        self.raw_configuration = Some(Arc::new(json));
        true
    }
}
