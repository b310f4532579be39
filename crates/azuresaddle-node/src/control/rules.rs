//! Watches the store for rules and owner records, and fetches rules from other nodes.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::prelude::*;
use azuresaddle_store::{
    Changes, KeyValueStore, OWNERS_PREFIX, OwnerRecord, RULES_KEY, Revision, RulesRecord,
    WATCHED_PREFIX,
};
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;

/// Maximum duration of one watch call. A connection that no longer delivers anything is given up
/// after this time and one second.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Delay between watch calls, so that a series of changes takes few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Mean delay after a failed watch.
const WATCH_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum wait for the rules of another node.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl<N: Network> Control<N> {
    pub(super) fn spawn_store_watch(&self) {
        let store = self.parts.store.clone();
        let tx = self.parts.tx.clone();
        self.parts
            .spawner
            .spawn_essential("store watch", async move {
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
                            // Without jitter, all nodes would reconnect to the store at the same time.
                            let jitter = 0.5 + rand::random::<f64>();
                            tokio::time::sleep(scaled(WATCH_BACKOFF, jitter)).await;
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
                    Err(e) => tracing::error!(
                        "rules: ignoring an invalid record, keeping the current rules: {e}"
                    ),
                }
            } else if entry.key.starts_with(OWNERS_PREFIX) {
                match serde_json::from_str::<OwnerRecord>(&entry.value) {
                    Ok(record) => self.apply_owner(now, record),
                    Err(e) => {
                        tracing::error!("owners: ignoring an invalid record at {}: {e}", entry.key);
                    }
                }
            }
        }
    }

    /// Applies rules with a higher version; others are ignored, so that no older version returns.
    pub(super) fn apply_rules(&mut self, now: Instant, record: RulesRecord) {
        self.rules_known = true;
        if record.version <= self.rules.version {
            return;
        }
        tracing::info!("rules: version {} in force", record.version);
        self.rules = Arc::new(record);
        self.sync_targets(now);
    }

    /// Fetches the rules of a node if it has a higher version, or any version while none is known.
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
            // If this fails, the next heartbeat tries again.
            Some(Command::Rules(record.unwrap_or_default()))
        });
    }
}
