//! What all requests of a node share.

use std::sync::Arc;

use azuresaddle_core::burn::BurnRecorder;
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_store::{Claims, HttpStore};
use tokio::sync::Semaphore;

use super::reporter::ReportSender;
use crate::control::{ControlHandle, LiveStreams};
use crate::engine::EngineClient;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::settings::Settings;
use crate::snapshot::SharedSnapshot;

/// Shared by all requests.
pub struct Traffic<N> {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// The snapshot in force.
    pub snapshot: SharedSnapshot,
    /// Control of this node.
    pub control: ControlHandle,
    /// Connections to other nodes.
    pub peers: PeerClients<N>,
    /// HTTP client on the traffic threads.
    pub http: HttpClient<N>,
    /// Engines.
    pub engines: EngineClient<N>,
    /// The key-value service.
    pub store: HttpStore<N>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Reports to owners.
    pub reports: ReportSender,
    /// Attempts of this node.
    pub live_streams: LiveStreams,
    /// Room for request bodies, in units of [`BODY_PERMIT_BYTES`].
    pub body_permits: Arc<Semaphore>,
    /// Tasks on the traffic threads.
    pub spawner: Spawner,
    /// Metrics.
    pub metrics: Metrics,
    /// Service-level counts.
    pub burn: Arc<BurnRecorder>,
    /// Outstanding calls to plain services.
    pub service_load: super::call::ServiceLoad,
}

/// Unit of buffer accounting, in bytes.
pub const BODY_PERMIT_BYTES: usize = 1024;
