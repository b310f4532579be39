//! Sends and handles datagrams.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::Datagram;

/// Longest wait for room in the socket's send buffer, so that a congested link does not hold up what control does besides.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);

impl<N: Network> Control<N> {
    /// Handles a datagram of another node; true if it changed something.
    pub(super) async fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) -> bool {
        let SocketAddr::V4(from) = from else {
            return false;
        };
        let ip = *from.ip();
        let now = Instant::now();
        match Datagram::decode(bytes) {
            Some(Datagram::Heartbeat(heartbeat)) => {
                let is_new = !self.members.knows(ip, heartbeat.from.incarnation);
                let changed = self.members.on_heartbeat(now, ip, &heartbeat);
                if is_new {
                    // A node that has just started discovers the others within a round trip.
                    self.send_heartbeats(now, &[ip]).await;
                    self.send_quarantine(ip).await;
                    self.send_known_signals(ip).await;
                    self.send_known_health(ip).await;
                }
                let unknown = self.members.hosts_to_request(&heartbeat);
                if !unknown.is_empty() {
                    self.send_to(ip, &Datagram::StateRequest(unknown).encode())
                        .await;
                }
                changed
            }
            Some(Datagram::StateRequest(hosts)) => {
                let states = self.members.states_of(now, &hosts);
                self.send_to(ip, &Datagram::StateResponse(states).encode())
                    .await;
                false
            }
            Some(Datagram::Crashes(updates)) => {
                self.on_crash_gossip(ip, &updates).await;
                false
            }
            Some(Datagram::Signals(updates)) => self.on_signal_gossip(&updates).await,
            Some(Datagram::TargetHealth(updates)) => self.on_health_gossip(&updates).await,
            Some(Datagram::StateResponse(states)) => self.members.on_states(now, &states),
            Some(Datagram::Vote(vote)) => {
                let claimed = self.members.on_vote(now, vote);
                self.take_over_if_claimed(now, claimed).await;
                claimed
            }
            Some(Datagram::HostLoad(updates)) => {
                self.on_load_gossip(&updates);
                false
            }
            None => {
                tracing::debug!(part = "control", %from, "malformed datagram ignored");
                false
            }
        }
    }

    /// Sends a heartbeat, with the state of other nodes.
    pub(super) async fn send_heartbeats(&mut self, now: Instant, to: &[Ipv4Addr]) {
        let bytes = Datagram::Heartbeat(self.members.heartbeat(now)).encode();
        for ip in to {
            self.send_to(*ip, &bytes).await;
        }
    }

    /// Sends a datagram, best effort: a later round makes up for a lost one.
    pub(super) async fn send_to(&self, ip: Ipv4Addr, bytes: &[u8]) {
        let to = SocketAddr::from((ip, self.heartbeat_port));
        let sent = tokio::time::timeout(SEND_TIMEOUT, self.socket.send_to(bytes, to)).await;
        if let Err(e) = sent.unwrap_or(Err(io::ErrorKind::TimedOut.into())) {
            // No retry: the next heartbeat follows soon.
            tracing::debug!(part = "control", %to, error = %e, "sending a datagram failed");
        }
    }
}
