//! Settings of a node.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use thiserror::Error;

/// Minimum time to live of the lease; a shorter one could expire during a slow call to the store.
const MIN_LEASE_TTL: Duration = Duration::from_secs(2);

/// Settings of a node, checked by [`Settings::check`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host, as in the host list.
    pub name: HostName,
    /// Failure domain of this host.
    pub domain: FailureDomain,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Bearer token of operators; required unless `admin_listen` is a loopback address.
    pub admin_token: Option<String>,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Address to which metrics are sent over UDP; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of the request bodies in memory, in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Maximum time for a request's head or body to arrive.
    pub body_timeout: Duration,
    /// How long callers may cache the list of node addresses.
    pub address_ttl: Duration,
    /// Time to live of this node's lease in the store.
    pub lease_ttl: Duration,
    /// Maximum wait for a response of the store.
    pub store_timeout: Duration,
    /// Maximum time without data from a target before its connection counts as broken.
    pub target_timeout: Duration,
    /// Prefill rate assumed for an engine until it is measured, in tokens per second.
    pub initial_prefill_rate: f64,
}

/// An invalid setting.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("--{flag} {value}: {expected}")]
pub struct SettingsError {
    /// Name of the flag.
    pub flag: &'static str,
    /// The given value.
    pub value: String,
    /// What is expected instead.
    pub expected: &'static str,
}

impl Settings {
    /// Creates settings with defaults for everything but names and addresses.
    pub fn new(name: &str, domain: &str, addrs: NodeAddrs) -> Self {
        Self {
            name: HostName::new(name),
            domain: FailureDomain::new(domain),
            listen: addrs.listen,
            peer_listen: addrs.peer_listen,
            admin_listen: addrs.admin_listen,
            admin_token: None,
            store: addrs.store,
            host_list: addrs.host_list,
            metrics: None,
            max_body_bytes: 16 << 20,
            max_buffered_bytes: 512 << 20,
            max_connections: 4096,
            body_timeout: Duration::from_secs(10),
            address_ttl: Duration::from_secs(5),
            lease_ttl: Duration::from_secs(6),
            store_timeout: Duration::from_secs(1),
            target_timeout: Duration::from_secs(3),
            initial_prefill_rate: 40_000.0,
        }
    }

    /// Checks the settings before anything is bound.
    ///
    /// # Errors
    /// Returns the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        require(
            !self.name.as_str().is_empty(),
            "name",
            &self.name,
            "a host name is needed",
        )?;
        require(
            !self.domain.as_str().is_empty(),
            "domain",
            &self.domain,
            "a failure domain is needed",
        )?;
        require(
            self.max_body_bytes >= 1024,
            "max-body-bytes",
            self.max_body_bytes,
            "must be at least 1024",
        )?;
        require(
            self.max_buffered_bytes >= self.max_body_bytes,
            "max-buffered-bytes",
            self.max_buffered_bytes,
            "must be at least max-body-bytes",
        )?;
        require(
            self.max_connections >= 1,
            "max-connections",
            0,
            "must be at least 1",
        )?;
        require(
            self.lease_ttl >= MIN_LEASE_TTL,
            "lease-ttl-ms",
            self.lease_ttl.as_millis(),
            "must be at least 2000",
        )?;
        require(
            self.store_timeout < self.lease_ttl / 3,
            "store-timeout-ms",
            self.store_timeout.as_millis(),
            "must be less than a third of lease-ttl-ms",
        )?;
        require(
            self.initial_prefill_rate.is_finite() && self.initial_prefill_rate > 0.0,
            "initial-prefill-rate",
            self.initial_prefill_rate,
            "must be a number above 0",
        )?;
        self.check_admin()
    }

    fn check_admin(&self) -> Result<(), SettingsError> {
        let is_local = self.admin_listen.ip().is_loopback();
        let has_token = self.admin_token.as_ref().is_some_and(|t| !t.is_empty());
        require(
            is_local || has_token,
            "admin-listen",
            self.admin_listen,
            "an address beyond loopback needs --admin-token",
        )
    }
}

/// Addresses that a node needs.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// For callers.
    pub listen: SocketAddr,
    /// For other nodes.
    pub peer_listen: SocketAddr,
    /// For operators.
    pub admin_listen: SocketAddr,
    /// Of the key-value store.
    pub store: SocketAddr,
    /// Of the host list.
    pub host_list: SocketAddr,
}

fn require(
    holds: bool,
    flag: &'static str,
    value: impl ToString,
    expected: &'static str,
) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError {
        flag,
        value: value.to_string(),
        expected,
    })
}
