//! A service that targets offer.

use std::sync::Arc;

use super::EngineSpec;

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all nodes together.
    pub max_connections: u32,
    /// Speeds and sizes where the targets are model engines.
    pub engine: Option<EngineSpec>,
}
