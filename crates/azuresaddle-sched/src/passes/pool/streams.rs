//! Tracking of the streams that run on the pool's engines.

use std::collections::HashSet;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::{PassPool, PlacedStream};
use crate::passes::engine::{EngineKey, HelperPart, LedStream};
use crate::passes::pace::overdue_at;
use crate::passes::request::{PlacementId, RunningStream, Suspect};

/// Description of a stream to be tracked.
pub(super) struct StreamRecord {
    pub(super) id: PlacementId,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
    pub(super) pause: std::time::Duration,
    pub(super) helper_memory_tokens: u64,
    /// Time at which the first event counts as overdue.
    pub(super) overdue_at: Option<Instant>,
    pub(super) suspect: Option<Suspect>,
}

impl PassPool {
    pub(super) fn record_failure(&mut self, now: Instant, name: &HostName) {
        if let Some(key) = self.keys_by_name.get(name) {
            self.engines[*key].breaker.on_failure(now);
        }
    }

    pub(super) fn remove_stream(&mut self, id: PlacementId) {
        let Some(placed) = self.placed_streams.remove(&id) else {
            return;
        };
        for key in std::iter::once(placed.lead).chain(placed.helpers) {
            if let Some(engine) = self.engines.get_mut(key) {
                engine.led_streams.retain(|l| l.id != id);
                engine.helper_parts.retain(|h| h.id != id);
            }
        }
    }

    /// Replaces the tracked streams of one node by those it reports. Streams that it does not
    /// report are released, unless `may_still_run` returns true because the node could not know of
    /// them yet.
    pub fn sync_node(
        &mut self,
        now: Instant,
        node: u64,
        streams: &[RunningStream],
        may_still_run: impl Fn(PlacementId) -> bool,
    ) {
        let listed: HashSet<PlacementId> = streams.iter().map(|s| s.id).collect();
        let gone: Vec<PlacementId> = self
            .placed_streams
            .keys()
            .filter(|id| id.node == node && !listed.contains(id) && !may_still_run(**id))
            .copied()
            .collect();
        for id in gone {
            self.remove_stream(id);
        }
        for stream in streams {
            if self.is_elsewhere(stream) {
                self.remove_stream(stream.id);
            }
            if !self.placed_streams.contains_key(&stream.id) {
                self.adopt_stream(now, stream);
            }
            if stream.is_decoding {
                self.on_first_event(now, stream.id);
            }
        }
    }

    /// Whether a tracked stream runs on other engines than recorded. While the owner changes, two nodes may place the same
    /// request.
    fn is_elsewhere(&self, stream: &RunningStream) -> bool {
        let Some(placed) = self.placed_streams.get(&stream.id) else {
            return false;
        };
        // The keys of engines that are gone or have restarted refer to none.
        let name = |key: &EngineKey| self.engines.get(*key).map(|e| &e.name);
        let is_led_elsewhere = name(&placed.lead).is_some_and(|lead| *lead != stream.lead);
        let mut helpers = placed.helpers.iter().filter_map(name);
        is_led_elsewhere || helpers.any(|h| !stream.helpers.contains(h))
    }

    pub(super) fn adopt_stream(&mut self, now: Instant, stream: &RunningStream) {
        self.queue.remove(stream.id);
        let Some(lead) = self.keys_by_name.get(&stream.lead).copied() else {
            return;
        };
        let helpers: Vec<EngineKey> = stream
            .helpers
            .iter()
            .filter_map(|name| self.keys_by_name.get(name).copied())
            .collect();
        let record = StreamRecord {
            id: stream.id,
            prompt_tokens: stream.prompt_tokens,
            answer_tokens: stream.answer_tokens,
            pause: stream.pause,
            helper_memory_tokens: stream.helper_memory_tokens,
            overdue_at: (!stream.is_decoding).then(|| overdue_at(now, stream.first_event_in)),
            suspect: stream.suspect,
        };
        if !stream.is_decoding {
            let ends = now + stream.first_event_in;
            for key in std::iter::once(&lead).chain(&helpers) {
                self.engines[*key].inherit_prefill(stream.id, ends);
            }
        }
        self.add_stream(&record, lead, helpers);
    }

    /// Drops all requests and streams of nodes for which `keep` returns false.
    pub fn retain_nodes(&mut self, keep: impl Fn(u64) -> bool) {
        self.queue.retain_nodes(&keep);
        let gone: Vec<PlacementId> = self
            .placed_streams
            .keys()
            .filter(|id| !keep(id.node))
            .copied()
            .collect();
        for id in gone {
            self.remove_stream(id);
        }
    }

    /// Tracks a stream on its engines.
    pub(super) fn add_stream(
        &mut self,
        record: &StreamRecord,
        lead: EngineKey,
        helpers: Vec<EngineKey>,
    ) {
        let memory = record.prompt_tokens + record.answer_tokens;
        let lent = record.helper_memory_tokens * helpers.len() as u64;
        let at_lead = memory.saturating_sub(lent);
        self.engines[lead].led_streams.push(LedStream {
            id: record.id,
            memory_tokens: at_lead,
            context_tokens: at_lead,
            prompt_tokens: record.prompt_tokens,
            pause: record.pause,
            is_decoding: false,
            needs_isolation: record.suspect.is_some_and(|s| s.needs_isolation),
            is_late: false,
        });
        for key in &helpers {
            self.engines[*key].helper_parts.push(HelperPart {
                id: record.id,
                memory_tokens: record.helper_memory_tokens,
                is_prefilled: false,
            });
        }
        let placed = PlacedStream {
            lead,
            helpers,
            overdue_at: record.overdue_at,
            suspect: record.suspect.map(|s| s.fingerprint),
        };
        self.placed_streams.insert(record.id, placed);
    }
}
