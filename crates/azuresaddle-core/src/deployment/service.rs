//! A service that targets offer.

use std::sync::Arc;

use super::{EngineSpec, RateLimit};

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path for health checks of its targets.
    pub health_path: String,
    /// Maximum number of connections that one target accepts from all nodes together.
    pub max_connections: u32,
    /// Rate limit of a target for as long as it is cold; `None` if it tolerates any rate then.
    pub cold_limit: Option<RateLimit>,
    /// Performance model, if the targets are model engines.
    pub engine: Option<EngineSpec>,
}
