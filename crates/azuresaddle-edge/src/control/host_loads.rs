//! States this host's load level to the other nodes, and relays theirs.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::addresses::LoadLevel;
use tokio::time::Instant;

use super::actor::Control;
use super::gossip_queue::GossipQueue;
use super::heartbeat::Datagram;
use super::host_counters::HostCounters;
use super::host_load_update::HostLoadUpdate;

/// Maximum number of load levels in a datagram. At five rounds a second to four gossip peers, they take at most 9 KB/s,
/// even if all hosts of a large fleet are loaded.
pub(super) const MAX_LOADS: usize = 24;

/// Queue of nodes whose levels are to be gossiped. The update is created when it is sent, since it contains the age of
/// the statement.
pub(super) type LoadGossip = GossipQueue<u64, MAX_LOADS>;

/// Ticks between two rounds of load levels. Callers keep an answer for 3 s, so that a tick more matters little.
const TICKS_PER_ROUND: u32 = 2;

impl<N: Network> Control<N> {
    /// Measures this host's load where addresses are selected, and gossips the levels of all hosts.
    pub(super) async fn on_load_tick(&mut self, now: Instant) {
        if !self.members.selects_addresses() {
            self.metrics.load_level.set(0);
            return;
        }
        if self.own_load.is_due(now) {
            self.measure_load(now);
        }
        let level = self.own_load.level().number();
        self.metrics.load_level.set(i64::from(level));
        if self.members.ticks.is_multiple_of(TICKS_PER_ROUND) {
            self.gossip_loads(now).await;
        }
    }

    fn measure_load(&mut self, now: Instant) {
        self.members.loads.remove_expired(now);
        let counters = match HostCounters::read() {
            Ok(counters) => counters,
            Err(e) => {
                // Without counters the host counts as one with little load.
                tracing::debug!(part = "control", error = %e, "can't read the load of this host");
                return;
            }
        };
        let Some(stated) = self.own_load.on_counters(now, counters) else {
            return;
        };
        let own = self.members.incarnation();
        self.members.loads.on_stated(now, own, stated);
        self.load_gossip.push(own);
    }

    /// Records load levels of other hosts, and relays new ones. The answers to callers follow with the next check of the
    /// candidates.
    pub(super) fn on_load_gossip(&mut self, updates: &[HostLoadUpdate]) {
        let now = Instant::now();
        let own = self.members.incarnation();
        for update in updates.iter().filter(|u| u.incarnation() != own) {
            let stated = update.stated(now);
            let before = self.members.loads.level(now, update.incarnation());
            if !self
                .members
                .loads
                .on_stated(now, update.incarnation(), stated)
            {
                continue;
            }
            if before != stated.level {
                log_level(update.incarnation(), stated.level);
            }
            if !self.members.is_mesh() {
                self.load_gossip.push(update.incarnation());
            }
        }
    }

    async fn gossip_loads(&mut self, now: Instant) {
        let mut nodes = self.load_gossip.next_round();
        nodes.sort_unstable();
        nodes.dedup();
        let latest = nodes.iter().filter_map(|n| {
            let stated = self.members.loads.latest(now, *n)?;
            Some(HostLoadUpdate::new(now, *n, stated))
        });
        let updates: Vec<HostLoadUpdate> = latest.collect();
        if updates.is_empty() {
            return;
        }
        let to = if self.members.is_mesh() {
            self.members.alive_hosts(now)
        } else {
            self.members.gossip_peers()
        };
        let bytes = Datagram::HostLoad(updates).encode();
        for ip in to {
            self.send_to(ip, &bytes).await;
        }
    }
}

fn log_level(node: u64, level: LoadLevel) {
    let level = level.number();
    tracing::debug!(
        part = "control",
        node,
        level,
        "load level of another host changed"
    );
}
