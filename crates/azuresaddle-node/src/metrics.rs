//! Sends metrics over UDP in the StatsD format.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every metric.
const PREFIX: &str = "azuresaddle";

/// Sends metrics; cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that discards all metrics.
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Self {
            client: Arc::new(client),
        }
    }

    /// Creates a client that sends metrics to an address; lost packets are not resent.
    ///
    /// # Errors
    /// Returns an error if no UDP socket can be bound.
    pub fn open(to: SocketAddr) -> std::io::Result<Self> {
        let local = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(to, socket).map_err(std::io::Error::other)?;
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took);
    }

    /// Records the current value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
