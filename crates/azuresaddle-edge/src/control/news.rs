//! What the store and other nodes tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Item, Kind, StoreEra, StorePosition, decode_configuration, kind_of};
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

/// Shortest time between two fetches of all targets.
const FULL_INTERVAL: Duration = Duration::from_millis(1000);

/// How much is fetched from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// What changed after a position.
    Changes(StorePosition),
    /// Everything.
    All,
}

/// An answer to a fetch; `None` where there was none.
#[derive(Debug)]
pub(super) struct Fetched {
    scope: Scope,
    news: Option<PeerNews>,
}

impl<N: Network> Control<N> {
    /// Asks a better informed node for its news, once the own watch had its chance.
    pub(super) fn fetch_if_behind(&mut self, now: Instant, news_tx: &mpsc::Sender<Fetched>) {
        let Some((addr, scope)) = self.next_fetch(now) else {
            return;
        };
        if self.is_fetching {
            return;
        }
        self.is_fetching = true;
        self.metrics.on_fetch(scope == Scope::All);
        let after = match scope {
            Scope::All => {
                self.full_fetch_at = Some(now);
                None
            }
            Scope::Changes(after) => Some(after),
        };
        let configuration = self.version();
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
            let news = news.ok();
            // The loop outlives this task.
            let _ = tx.send(Fetched { scope, news }).await;
        });
    }

    /// Which node to ask, and for how much; `None` where nobody knows more, or the own watch may still tell it.
    fn next_fetch(&mut self, now: Instant) -> Option<(SocketAddr, Scope)> {
        if self.needs_sync() {
            let veteran = self.members.better_informed(now, |n| n.configuration > 0);
            return veteran.map(|addr| (addr, Scope::All));
        }
        let configuration = self.version();
        let targets = self.registry.position();
        let hash = self.registry.published().hash;
        let is_later = |n: &NodeNews| n.configuration > configuration || n.targets > targets;
        let later = self.members.better_informed(now, is_later);
        let differs = |n: &NodeNews| n.targets == targets && n.targets_hash != hash;
        let Some(addr) = later.or_else(|| self.members.better_informed(now, differs)) else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let behind = now.saturating_duration_since(since);
        if behind >= FULL_PATIENCE && self.may_fetch_all(now) {
            // Where single changes don't bring both to the same targets, everything does.
            return Some((addr, Scope::All));
        }
        let patience = if self.members.should_watch(now) {
            NEWS_PATIENCE
        } else {
            Duration::ZERO
        };
        let is_due = later.is_some() && behind >= patience;
        is_due.then_some((addr, Scope::Changes(targets)))
    }

    fn may_fetch_all(&self, now: Instant) -> bool {
        let last = self.full_fetch_at;
        last.is_none_or(|at| now.saturating_duration_since(at) >= FULL_INTERVAL)
    }

    pub(super) fn on_fetched(&mut self, fetched: Fetched) -> bool {
        self.is_fetching = false;
        let Some(news) = fetched.news else {
            return false;
        };
        let now = Instant::now();
        let era = self.registry.position().era;
        let mut changed = false;
        for target in news.targets {
            changed |= self.registry.apply_news(now, target);
        }
        self.registry.on_synced(news.position);
        if fetched.scope == Scope::All {
            self.start_gate.is_synced = true;
        }
        if let Some(json) = news.configuration {
            changed |= self.on_configuration(json, "a node");
        }
        self.note_era();
        changed |= self.registry.position().era != era;
        changed | self.release_held_back()
    }

    /// Tells operators where the store has gone back to an older copy.
    fn note_era(&mut self) {
        let era = self.registry.era();
        if era == StoreEra::default() {
            return;
        }
        let known = self.known_era.replace(era);
        if known.is_some_and(|known| known < era) {
            tracing::warn!(
                part = "control",
                era = era.0,
                "store went back to an older copy"
            );
            self.metrics.store_returns.inc();
        }
    }

    /// Takes what the store tells; true where others are to be told.
    pub(super) fn on_store(&mut self, event: StoreEvent) -> bool {
        let era = self.registry.position().era;
        let changed = self.on_store_event(event);
        // Nodes that don't reach the store learn from this one that it has gone back.
        changed || self.registry.position().era != era
    }

    fn on_store_event(&mut self, event: StoreEvent) -> bool {
        let now = Instant::now();
        if !matches!(event, StoreEvent::Lost { .. }) {
            self.store_answered_at = Some(now);
        }
        match event {
            StoreEvent::Back => {
                tracing::info!(part = "control", "store regained");
                self.registry.on_store_back(now);
                false
            }
            StoreEvent::Lost { reason } => {
                tracing::warn!(part = "control", reason, "store lost");
                self.store_answered_at = None;
                self.metrics.store_failures.inc();
                false
            }
            StoreEvent::Era(era) => {
                self.registry.on_era(now, era);
                self.note_era();
                false
            }
            StoreEvent::Listing { items, at } => {
                self.on_crash_listing(now, &items);
                let (targets, others): (Vec<_>, Vec<_>) = items
                    .into_iter()
                    .partition(|i| kind_of(&i.key) == Kind::Target);
                let changed = self.registry.apply_listing(now, targets, at);
                self.registry.on_caught_up();
                self.on_items(now, others) | changed
            }
            StoreEvent::Page(items) => self.on_items(now, items),
            StoreEvent::Changes { items, at } => {
                let changed = self.on_items(now, items);
                self.registry.on_followed(at);
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
                self.on_crash_item(now, &item);
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
        let version = configuration.version.0;
        if version <= self.version() {
            return false;
        }
        if self.configuration.is_none() && !self.may_begin(Instant::now(), version) {
            self.hold_back(json);
            return false;
        }
        tracing::info!(
            part = "control",
            version,
            routes = configuration.route_count(),
            source,
            "configuration in force"
        );
        self.configuration = Some(Arc::new(configuration));
        self.raw_configuration = Some(Arc::new(json));
        true
    }
}
