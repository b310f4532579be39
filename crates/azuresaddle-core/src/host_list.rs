//! Entries of the platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, HostName, Model};

/// What runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum HostKind {
    /// A node of this system.
    Entry {
        /// Address for other nodes.
        peer_addr: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// The model it serves.
        model: Model,
        /// Memory in tokens.
        memory_tokens: u64,
        /// Whether it refuses orders that carry an old fencing number.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The name that callers use in the path.
        service: Model,
    },
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Host {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Address for callers (entry host) or for requests (target).
    pub addr: SocketAddr,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Whether the host is about to go away.
    #[serde(default)]
    pub leaving: bool,
    /// What runs there.
    #[serde(flatten)]
    pub kind: HostKind,
}

/// The whole list as the platform gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostList {
    /// All hosts, in the order of their names.
    pub hosts: Vec<Host>,
}
