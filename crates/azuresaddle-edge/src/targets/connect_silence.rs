//! How long a target has accepted no connection.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a connection after which a target counts as down rather than paused. A sound target may pause for more than
/// a second.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time between two attempts after which an earlier silence no longer counts, since the target may have accepted connections
/// meanwhile.
const MAX_GAP: Duration = Duration::from_secs(2);

/// A time in which a target neither accepted nor refused connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectSilence {
    /// When the first attempt without an answer began.
    since: Instant,
    /// When the last one was given up.
    until: Instant,
}

impl ConnectSilence {
    /// The silence once one more attempt, which began at `began_at`, got no answer until `now`.
    pub(super) fn after(before: Option<Self>, began_at: Instant, now: Instant) -> Self {
        let is_known = |s: &Self| began_at.saturating_duration_since(s.until) < MAX_GAP;
        let since = before.filter(is_known).map_or(began_at, |s| s.since);
        Self {
            since: since.min(began_at),
            until: now,
        }
    }

    /// Whether it is short enough for a pause of a sound target.
    pub(super) fn may_be_pause(self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < MAX_PAUSE
    }
}
