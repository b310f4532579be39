//! Which parts of a prompt a crash of its target is held against.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::recent::RecentSuccessfulRuns;
use super::state::Quarantine;

/// Maximum number of parts of one prompt that a crash is held against: each has a record at every node, and is reported to
/// all of them.
pub const MAX_PARTS_PER_CRASH: usize = 16;

/// Maximum number of parts of one prompt whose successful run is remembered: a single prompt must not displace the runs of
/// all others. Parts that many prompts hold are remembered from some of them.
const MAX_REMEMBERED_PARTS: usize = 64;

/// Evidence for a part without a record whose recent runs targets have survived, in crashes; any amount ranks it behind the
/// parts of which nothing is known.
const RECENT_RUNS_WEIGHT: f64 = -1.0;

impl Quarantine {
    /// Selects the parts of a request's prompt that a crash of its target is held against, at most
    /// [`MAX_PARTS_PER_CRASH`].
    ///
    /// Those with the strongest evidence against them come first, then those of which nothing is known, then those that
    /// targets have survived. Among equals the choice differs between requests, so that no part is left out each time,
    /// whatever its position.
    pub fn parts_to_blame(
        &self,
        now: Instant,
        request: Fingerprint,
        parts: &[Fingerprint],
        recent: &RecentSuccessfulRuns,
    ) -> Vec<Fingerprint> {
        if parts.len() <= MAX_PARTS_PER_CRASH {
            return parts.to_vec();
        }
        let weight = |part: Fingerprint| {
            if self.knows(part) || !recent.has_run(now, part) {
                self.weight(part)
            } else {
                RECENT_RUNS_WEIGHT
            }
        };
        let ranked = rotated(request, parts).enumerate();
        let mut ranked: Vec<(f64, usize, Fingerprint)> =
            ranked.map(|(n, part)| (weight(part), n, part)).collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked.truncate(MAX_PARTS_PER_CRASH);
        ranked.into_iter().map(|(_, _, part)| part).collect()
    }
}

/// Selects the parts of a prompt whose successful run is remembered; the choice differs between requests.
pub fn parts_to_remember(
    request: Fingerprint,
    parts: &[Fingerprint],
) -> impl Iterator<Item = Fingerprint> {
    rotated(request, parts).take(MAX_REMEMBERED_PARTS)
}

/// All parts, from one on that depends on the request.
fn rotated(request: Fingerprint, parts: &[Fingerprint]) -> impl Iterator<Item = Fingerprint> {
    let start = request.index_below(parts.len());
    parts[start..].iter().chain(&parts[..start]).copied()
}
