//! Reads the platform's host list and applies it.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::host_list::HostList;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;
use super::peer_state::PeerState;
use crate::host_client::read_host_list;
use crate::snapshot::HostIndex;

/// Delay between reads of the host list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

impl<N: Network> Control<N> {
    pub(super) fn spawn_host_list_reader(&self) {
        let http = self.parts.http.clone();
        let addr = self.parts.settings.host_list;
        let tx = self.parts.tx.clone();
        self.parts.spawner.spawn_essential("host list", async move {
            let mut was_reachable = true;
            loop {
                match read_host_list(&http, addr).await {
                    Ok(list) => {
                        was_reachable = true;
                        let _ = tx.send(Command::Hosts(list)).await;
                    }
                    Err(e) if was_reachable => {
                        was_reachable = false;
                        tracing::warn!("hosts: reading the host list failed: {e}");
                    }
                    Err(_) => {}
                }
                tokio::time::sleep(READ_INTERVAL).await;
            }
        });
    }

    pub(super) fn on_hosts(&mut self, now: Instant, list: HostList) {
        let index = HostIndex::new(list);
        if index != *self.hosts {
            self.hosts = Arc::new(index);
            self.update_peers(now);
        }
        self.sync_targets(now);
    }

    fn update_peers(&mut self, now: Instant) {
        let own = &self.parts.settings.name;
        for entry in self.hosts.entries.iter().filter(|e| e.name != *own) {
            self.peers
                .entry(entry.name.clone())
                .or_insert_with(|| PeerState::new(now));
        }
        let hosts = Arc::clone(&self.hosts);
        self.peers
            .retain(|name, _| hosts.entries.iter().any(|e| e.name == *name));
    }
}
