//! Metrics by cadence over UDP.

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
    /// Metrics that go nowhere.
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Self {
            client: Arc::new(client),
        }
    }

    /// Metrics that are sent to an address; lost ones are not sent again.
    ///
    /// # Errors
    /// Where no UDP socket can be bound.
    pub fn open(to: SocketAddr) -> std::io::Result<Self> {
        let local = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(to, socket).map_err(std::io::Error::other)?;
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took);
    }

    /// Records a level.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
