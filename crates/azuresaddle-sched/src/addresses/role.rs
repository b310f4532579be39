//! Role of a node in its fleet.

/// What a node does besides serving callers, which takes a part of its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeRole {
    /// Nothing.
    #[default]
    Plain,
    /// Watches the store on behalf of other nodes.
    Watcher,
    /// Places the streams of the whole fleet.
    Owner,
}

impl NodeRole {
    /// Part of the host that is left for callers.
    pub(super) fn factor(self) -> f64 {
        match self {
            Self::Plain => 1.0,
            Self::Watcher => 0.5,
            Self::Owner => 0.25,
        }
    }
}
