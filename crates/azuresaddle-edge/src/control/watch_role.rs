//! Role of a node that watches the store.

/// How a node watches the store on behalf of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchRole {
    /// Its changes reach the other nodes first.
    Leading,
    /// It takes over if the leading one ends or the store does not answer that one.
    Standby,
}
