//! Engines that could prefill parts of a long prompt.

use std::borrow::Cow;

use super::engine::EngineKey;
use super::pool_view::PoolView;
use super::request::PlacementRequest;

/// Number of engines considered for a prompt, earliest available first. It is several times the
/// number that may take part, and bounds the cost of a plan in large pools.
const MAX_CONSIDERED: usize = 64;

/// Longest part that may share a pass with another part, in milliseconds.
const MAX_SHARED_PASS_PART_MS: f64 = 50.0;

/// An engine that could prefill a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct LongCandidate {
    pub(super) key: EngineKey,
    /// Time until its next pass, in milliseconds.
    pub(super) start_ms: f64,
    /// Duration of that pass without the part, in milliseconds.
    pub(super) base_ms: f64,
    /// Longest part that makes no stream late, in milliseconds.
    pub(super) headroom_ms: f64,
    /// Longest part that stalls no stream, late ones included, in milliseconds.
    pub(super) stall_headroom_ms: f64,
    /// Whether a part could share a pass with another part.
    pub(super) is_prefilling: bool,
    /// Longest pass that keeps the pauses of the streams there, in milliseconds.
    pub(super) max_pass_ms: f64,
    pub(super) free_tokens: u64,
    /// Slowdown relative to a reference engine; 1 for full speed.
    pub(super) pace_factor: f64,
    pub(super) is_slow: bool,
    /// Number of streams that this engine decodes or will decode.
    pub(super) led_stream_count: usize,
    pub(super) can_lead: bool,
}

/// Snapshot of the engines that could prefill parts.
///
/// Built once for all prompts that are tried in a dispatch, since under load most of them find no
/// capacity.
#[derive(Clone, Debug)]
pub(super) struct LongCandidates(Vec<LongCandidate>);

impl LongCandidates {
    /// Collects all engines that accept work: earliest available first, then those with the most
    /// headroom, which run no short streams. Slow engines come last, since the first event waits
    /// for the slowest part.
    pub(super) fn new(view: &PoolView<'_>) -> Self {
        let mut all = candidates(view);
        all.sort_by(|a, b| {
            let by_slowness = a.is_slow.cmp(&b.is_slow);
            let by_start = by_slowness.then(a.start_ms.total_cmp(&b.start_ms));
            by_start.then(b.headroom_ms.total_cmp(&a.headroom_ms))
        });
        all.truncate(MAX_CONSIDERED);
        Self(all)
    }

    /// Returns the candidates that the request may use.
    pub(super) fn for_request(
        &self,
        view: &PoolView<'_>,
        request: &PlacementRequest,
    ) -> Cow<'_, [LongCandidate]> {
        if request.exclude.is_empty() && request.suspect.is_none() {
            return Cow::Borrowed(&self.0);
        }
        let is_usable = |c: &&LongCandidate| {
            let engine = &view.engines[c.key];
            !request.exclude.contains(&engine.name) && !request.must_avoid(view.now, engine)
        };
        let usable = self.0.iter().filter(is_usable);
        Cow::Owned(usable.copied().collect())
    }
}

fn candidates(view: &PoolView<'_>) -> Vec<LongCandidate> {
    let PoolView {
        now,
        spec,
        engines,
        options,
        ..
    } = *view;
    engines
        .iter()
        .filter(|(_, e)| e.accepts_work(now) && e.can_help(spec))
        .map(|(key, e)| LongCandidate {
            key,
            start_ms: e.next_pass_in(now).as_secs_f64() * 1000.0,
            base_ms: e.next_pass_ms(spec, 0.0),
            headroom_ms: if options.protect_prefills && e.is_prefilling(now) {
                e.headroom_ms(spec).min(MAX_SHARED_PASS_PART_MS)
            } else {
                e.headroom_ms(spec)
            },
            stall_headroom_ms: e.stall_headroom_ms(spec),
            is_prefilling: options.protect_prefills && e.is_prefilling(now),
            max_pass_ms: e.max_pass_ms(),
            free_tokens: e.free_tokens(spec),
            pace_factor: e.pace.factor(),
            is_slow: e.pace.is_slow(),
            led_stream_count: e.led_streams.len(),
            can_lead: e.has_slot(spec),
        })
        .collect()
}
