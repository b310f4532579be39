//! Whom buffered bytes are meant for.

/// Whom buffered bytes are meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// A caller: answers and events that it has not read.
    Caller,
    /// A target: bodies of requests.
    Target,
}
