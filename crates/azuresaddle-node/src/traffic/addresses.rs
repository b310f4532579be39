//! `GET /v1/addresses`: the entry hosts that a caller should use.

use std::cmp::Reverse;
use std::net::SocketAddr;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::state::Traffic;
use azuresaddle_store::unix_ms;

/// Entry hosts in the order in which a caller should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AddressReply {
    /// Entry hosts, the preferred one first.
    pub addresses: Vec<EntryAddress>,
    /// How long the caller may cache the reply, in milliseconds.
    pub time_to_live_ms: u64,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryAddress {
    /// Name of the host.
    pub host: HostName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain of the host.
    pub domain: FailureDomain,
}

impl<N: Network> Traffic<N> {
    /// Lists the entry hosts that are not about to stop: those of the caller's failure domain
    /// first, and within that ordered by a hash of caller and host, which spreads callers evenly.
    ///
    /// Without `domain`, the failure domain of this node is used.
    pub(super) fn addresses(&self, caller: &str, domain: Option<&str>) -> AddressReply {
        let snapshot = self.snapshot.load();
        let now_unix_ms = unix_ms();
        let domain = domain.unwrap_or(self.settings.domain.as_str());
        let mut entries: Vec<_> = snapshot
            .hosts
            .entries
            .iter()
            .filter(|entry| {
                let planned = snapshot
                    .rules
                    .document
                    .is_stopping(&entry.name, now_unix_ms);
                !entry.leaving && !planned && !snapshot.stopping_nodes.contains(&entry.name)
            })
            .collect();
        entries.sort_by_key(|entry| {
            let text = format!("{caller}\n{}", entry.name);
            let is_own = entry.domain.as_str() == domain;
            Reverse((is_own, xxh3_64(text.as_bytes())))
        });
        AddressReply {
            addresses: entries
                .into_iter()
                .map(|entry| EntryAddress {
                    host: entry.name.clone(),
                    addr: entry.addr,
                    domain: entry.domain.clone(),
                })
                .collect(),
            time_to_live_ms: u64::try_from(self.settings.address_ttl.as_millis())
                .unwrap_or(u64::MAX),
        }
    }
}
