//! State shared by all requests of a node.

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

/// State shared by all requests, with the handlers and the relay as its methods.
pub struct Traffic<N> {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// The current snapshot of rules, hosts, owners and digests.
    pub snapshot: SharedSnapshot,
    /// Handle to the control task of this node.
    pub control: ControlHandle,
    /// Clients of the other nodes.
    pub peers: PeerClients<N>,
    /// HTTP client that runs on the traffic threads.
    pub http: HttpClient<N>,
    /// Client of the model engines.
    pub engines: EngineClient<N>,
    /// Client of the key-value store.
    pub store: HttpStore<N>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Sends reports to the owners of pools.
    pub reports: ReportSender,
    /// Live attempts of this node, which its heartbeats claim.
    pub live_streams: LiveStreams,
    /// Limits the memory for request bodies; each permit stands for [`BODY_PERMIT_BYTES`].
    pub body_permits: Arc<Semaphore>,
    /// Spawns tasks on the traffic threads.
    pub spawner: Spawner,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Service-level counts of requests, for the error-budget burn.
    pub burn: Arc<BurnRecorder>,
    /// Outstanding calls and circuit breakers of plain services.
    pub service_load: super::call::ServiceLoad,
}

/// Bytes of request body that one permit of [`Traffic::body_permits`] allows.
pub const BODY_PERMIT_BYTES: usize = 1024;
