//! Entries of the platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::bounded_tokens;
use crate::names::{FailureDomain, HostName, Model};

/// What runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum HostKind {
    /// An entry host, which runs a node of this system.
    Entry {
        /// Address at which other nodes reach it.
        peer_addr: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// The model it serves.
        model: Model,
        /// KV-cache capacity, in tokens.
        #[serde(deserialize_with = "bounded_tokens::deserialize")]
        memory_tokens: u64,
        /// Whether it rejects requests that carry an outdated fencing token.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain service, which is not a model engine.
    Service {
        /// Name of the service in the path of a request.
        service: Model,
    },
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Host {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Address for callers (entry host) or for forwarded requests (target).
    pub addr: SocketAddr,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Whether the host is about to be removed.
    #[serde(default)]
    pub leaving: bool,
    /// What runs there.
    #[serde(flatten)]
    pub kind: HostKind,
}

/// The host list as returned by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostList {
    /// All hosts, sorted by name.
    pub hosts: Vec<Host>,
}
