//! The operators' rules: from the store's watch, or from another node.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_store::{
    Changes, KeyValueStore, OWNERS_PREFIX, OwnerRecord, RULES_KEY, Revision, RulesRecord,
    WATCHED_PREFIX,
};
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;

/// Longest wait of one watch; a silent connection costs no more than this and a second.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause between watches, so that many changes in a row cost few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a failed watch.
const WATCH_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait for another node's rules.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl<N: Network> Control<N> {
    pub(super) fn spawn_store_watch(&self) {
        let store = self.parts.store.clone();
        let tx = self.parts.tx.clone();
        self.parts.spawner.spawn(async move {
            let mut revision = Revision(0);
            let mut was_reachable = true;
            loop {
                match store.watch(WATCHED_PREFIX, revision, WATCH_WAIT).await {
                    Ok(changes) => {
                        if !was_reachable {
                            tracing::info!("store: reachable again");
                        }
                        was_reachable = true;
                        revision = changes.revision;
                        let _ = tx.send(Command::StoreChanges(changes)).await;
                        tokio::time::sleep(WATCH_PAUSE).await;
                    }
                    Err(e) => {
                        if was_reachable {
                            tracing::warn!("store: watch failed: {e}");
                        }
                        was_reachable = false;
                        // Nodes that lost the store together do not come back together.
                        let jitter = 0.5 + rand::random::<f64>();
                        tokio::time::sleep(WATCH_BACKOFF.mul_f64(jitter)).await;
                    }
                }
            }
        });
    }

    pub(super) fn on_store_changes(&mut self, now: Instant, changes: Changes) {
        self.store_last_seen = Some(now);
        self.rules_known = true;
        for entry in changes.entries {
            if entry.key == RULES_KEY {
                match RulesRecord::from_entry(&entry) {
                    Ok(record) => self.apply_rules(now, record),
                    Err(e) => tracing::error!("rules: kept as they are: {e}"),
                }
            } else if entry.key.starts_with(OWNERS_PREFIX) {
                match serde_json::from_str::<OwnerRecord>(&entry.value) {
                    Ok(record) => self.apply_owner(now, record),
                    Err(e) => tracing::error!("owners: bad record under {}: {e}", entry.key),
                }
            }
        }
    }

    /// Takes rules of a higher version; others are ignored, so that nothing reverts.
    pub(super) fn apply_rules(&mut self, now: Instant, record: RulesRecord) {
        self.rules_known = true;
        if record.version <= self.rules.version {
            return;
        }
        tracing::info!("rules: version {} in force", record.version);
        self.rules = Arc::new(record);
        self.sync_targets(now);
    }

    /// Fetches the rules of a node that has a higher version, or any while none are known.
    pub(super) fn fetch_newer_rules(&mut self, node: &HostName, version: RulesVersion) {
        let is_news = version > self.rules.version || !self.rules_known;
        if !is_news || self.fetching_rules {
            return;
        }
        let Some(entry) = self.hosts.entries.iter().find(|e| e.name == *node) else {
            return;
        };
        self.fetching_rules = true;
        let addr = entry.peer_addr;
        let peers = self.parts.peers.clone();
        self.spawn_command(async move {
            let call = async |client: crate::peer::PeerClient, cx| client.rules(cx).await;
            let json = peers.call(addr, FETCH_TIMEOUT, call).await.ok();
            let record = json.and_then(|json| serde_json::from_str(&json).ok());
            // Without an answer the next heartbeat tries again.
            Some(Command::Rules(record.unwrap_or_default()))
        });
    }
}
