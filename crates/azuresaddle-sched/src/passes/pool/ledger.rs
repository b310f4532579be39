//! The ledger: which streams run where.

use std::collections::HashSet;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::{PassPool, Run};
use crate::passes::ask::{AskId, RunningStream, Suspect};
use crate::passes::engine::{EngineId, Help, Lead};
use crate::passes::pace::overdue_at;

/// What the ledger needs to know of a stream.
pub(super) struct Parts {
    pub(super) id: AskId,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
    pub(super) pause: std::time::Duration,
    pub(super) helper_memory_tokens: u64,
    /// When the first event counts as overdue.
    pub(super) overdue_at: Option<Instant>,
    pub(super) suspect: Option<Suspect>,
}

impl PassPool {
    pub(super) fn note_failure(&mut self, now: Instant, name: &HostName) {
        if let Some(key) = self.names.get(name) {
            self.engines[*key].breaker.on_failure(now);
        }
    }

    pub(super) fn release(&mut self, id: AskId) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        for key in std::iter::once(run.lead).chain(run.helpers) {
            if let Some(engine) = self.engines.get_mut(key) {
                engine.leads.retain(|l| l.id != id);
                engine.helps.retain(|h| h.id != id);
            }
        }
    }

    /// Replaces what is known of one node's streams by what it says itself; a stream that it does
    /// not name is given up unless `may_run` says that the node can't have known of it.
    pub fn sync_node(
        &mut self,
        now: Instant,
        node: u64,
        streams: &[RunningStream],
        may_run: impl Fn(AskId) -> bool,
    ) {
        let told: HashSet<AskId> = streams.iter().map(|s| s.id).collect();
        let gone: Vec<AskId> = self
            .runs
            .keys()
            .filter(|id| id.node == node && !told.contains(id) && !may_run(**id))
            .copied()
            .collect();
        for id in gone {
            self.release(id);
        }
        for stream in streams {
            if !self.runs.contains_key(&stream.id) {
                self.adopt(now, stream);
            }
            if stream.is_writing {
                self.on_first_event(now, stream.id);
            }
        }
    }

    pub(super) fn adopt(&mut self, now: Instant, stream: &RunningStream) {
        self.queue.remove(stream.id);
        let Some(lead) = self.names.get(&stream.lead).copied() else {
            return;
        };
        let helpers: Vec<EngineId> = stream
            .helpers
            .iter()
            .filter_map(|name| self.names.get(name).copied())
            .collect();
        let parts = Parts {
            id: stream.id,
            prompt_tokens: stream.prompt_tokens,
            answer_tokens: stream.answer_tokens,
            pause: stream.pause,
            helper_memory_tokens: stream.helper_memory_tokens,
            overdue_at: (!stream.is_writing).then(|| overdue_at(now, stream.first_event_in)),
            suspect: stream.suspect,
        };
        if !stream.is_writing {
            let ends = now + stream.first_event_in;
            for key in std::iter::once(&lead).chain(&helpers) {
                self.engines[*key].adopt_read(stream.id, ends);
            }
        }
        self.hold(&parts, lead, helpers);
    }

    /// Forgets everything of nodes that `keep` does not name.
    pub fn retain_nodes(&mut self, keep: impl Fn(u64) -> bool) {
        self.queue.retain_nodes(&keep);
        let gone: Vec<AskId> = self
            .runs
            .keys()
            .filter(|id| !keep(id.node))
            .copied()
            .collect();
        for id in gone {
            self.release(id);
        }
    }

    /// Notes a stream in the ledger.
    pub(super) fn hold(&mut self, parts: &Parts, lead: EngineId, helpers: Vec<EngineId>) {
        let memory = parts.prompt_tokens + parts.answer_tokens;
        let lent = parts.helper_memory_tokens * helpers.len() as u64;
        let at_lead = memory.saturating_sub(lent);
        self.engines[lead].leads.push(Lead {
            id: parts.id,
            memory_tokens: at_lead,
            context_tokens: at_lead,
            prompt_tokens: parts.prompt_tokens,
            pause: parts.pause,
            is_writing: false,
            keeps_apart: parts.suspect.is_some_and(|s| s.keeps_apart),
            is_late: false,
        });
        for key in &helpers {
            self.engines[*key].helps.push(Help {
                id: parts.id,
                memory_tokens: parts.helper_memory_tokens,
                is_read: false,
            });
        }
        let run = Run {
            lead,
            helpers,
            overdue_at: parts.overdue_at,
            suspect: parts.suspect.map(|s| s.request),
        };
        self.runs.insert(parts.id, run);
    }
}
