//! Optional parts of a node that a deployment calls for.

/// Optional parts of a node, switched on by the platform's settings.
///
/// A deployment whose settings call for none of them is served without them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Nodes share what they observe of targets' health, and eject failing targets together.
    pub shared_health: bool,
    /// The owner of a pool forecasts its demand.
    pub demand_forecast: bool,
}
