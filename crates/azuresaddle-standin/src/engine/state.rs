//! State of an engine: its streams, memory, cache and fencing epochs.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::prompt::{prefix_hashes, prompt_tokens};
use azuresaddle_node::engine::wire::{FencingToken, LendRequest, StartRequest};
use azuresaddle_sched::LiveStream;
use tokio::time::Instant;

use super::cache::PrefixCache;
use super::options::EngineOptions;
use super::stream::{Stage, Stream};
use crate::answer::Answer;

/// Maximum number of tokens that are generated ahead of the stream's reader.
const MAX_UNREAD_TOKENS: u64 = 256;

/// Time for which a finished stream stays available to readers.
const FINISHED_RETENTION: Duration = Duration::from_secs(20);

/// Number of tokens per cached block.
const BLOCK_TOKENS: u64 = 1024;

/// Reason for rejecting a request; see the `TITLE_` constants of the wire module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Fenced,
    NoMemory,
    Duplicate,
    Displaced,
    Unknown,
}

/// Streams, memory, cache and fencing epochs of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) streams: BTreeMap<StreamId, Stream>,
    /// Memory held for streams that other engines lead.
    lends: BTreeMap<StreamId, LendRequest>,
    /// Highest epoch seen for each pool.
    fences: HashMap<String, Epoch>,
    pub(super) cache: PrefixCache,
    /// Number of prefills started for each prompt, by the prompt's digest.
    pub(super) executions: HashMap<u64, u64>,
    accepted_streams: u64,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            options,
            streams: BTreeMap::new(),
            lends: BTreeMap::new(),
            fences: HashMap::new(),
            cache: PrefixCache::default(),
            executions: HashMap::new(),
            accepted_streams: 0,
        }
    }

    /// Memory in use, in tokens, lent memory included.
    pub(super) fn used_tokens(&self) -> u64 {
        let streams = self.streams.values().filter(|s| s.holds_memory());
        let lent: u64 = self.lends.values().map(|l| l.memory_tokens).sum();
        streams.map(|s| s.memory_tokens).sum::<u64>() + lent
    }

    /// Streams that hold memory, lent memory included.
    pub(super) fn live_streams(&self) -> Vec<LiveStream> {
        let streams = self.streams.iter().filter(|(_, s)| s.holds_memory());
        let streams = streams.map(|(id, s)| LiveStream {
            stream: *id,
            node: s.node.clone(),
            account: s.account.clone(),
            memory_tokens: s.memory_tokens,
            decoding: s.stage == Stage::Decoding,
        });
        let lends = self.lends.values().map(|l| LiveStream {
            stream: l.stream,
            node: l.node.clone(),
            account: l.account.clone(),
            memory_tokens: l.memory_tokens,
            decoding: true,
        });
        streams.chain(lends).collect()
    }

    pub(super) fn check_fence(&mut self, fence: &FencingToken) -> Result<(), Rejection> {
        if !self.options.checks_fencing {
            return Ok(());
        }
        let highest = self.fences.entry(fence.pool.clone()).or_default();
        if fence.epoch < *highest {
            return Err(Rejection::Fenced);
        }
        *highest = fence.epoch;
        Ok(())
    }

    pub(super) fn lend(&mut self, lend: LendRequest) -> Result<(), Rejection> {
        self.check_fence(&lend.fence)?;
        if self.lends.contains_key(&lend.stream) {
            return Ok(());
        }
        self.check_memory(lend.memory_tokens)?;
        self.lends.insert(lend.stream, lend);
        Ok(())
    }

    /// Queues a new stream and returns the number of its reader.
    pub(super) fn start(&mut self, start: StartRequest) -> Result<u64, Rejection> {
        self.check_fence(&start.fence)?;
        if self.streams.contains_key(&start.stream) {
            return Err(Rejection::Duplicate);
        }
        self.check_memory(start.memory_tokens)?;
        self.accepted_streams += 1;
        let first = start.prior.len() as u64;
        let stream = Stream {
            node: start.node,
            account: start.account,
            answer: Answer::new(&start.prompt, start.max_tokens),
            priority: start.priority,
            arrival_number: self.accepted_streams,
            prompt_tokens: prompt_tokens(&start.prompt),
            prefix: prefix_hashes(&start.prompt),
            members: start.members.max(1),
            memory_tokens: start.memory_tokens,
            stage: Stage::Queued,
            generated_tokens: first,
            read_tokens: first,
            reader: 1,
            changed: Default::default(),
        };
        self.streams.insert(start.stream, stream);
        Ok(1)
    }

    /// Makes a new connection the reader of a stream and returns the reader's number.
    pub(super) fn resume(
        &mut self,
        id: StreamId,
        after: u64,
        node: &HostName,
        take_over: bool,
    ) -> Result<u64, Rejection> {
        let stream = self.streams.get_mut(&id).ok_or(Rejection::Unknown)?;
        if stream.node != *node && !take_over {
            return Err(Rejection::Displaced);
        }
        stream.node = node.clone();
        stream.reader += 1;
        stream.read_tokens = after;
        stream.changed.notify_waiters();
        Ok(stream.reader)
    }

    /// Removes a stream and the memory lent for it. Unknown streams are ignored; finished ones hold
    /// no memory and stay available to their readers.
    pub(super) fn cancel(&mut self, id: StreamId) {
        self.lends.remove(&id);
        if self.streams.get(&id).is_some_and(|s| !s.holds_memory()) {
            return;
        }
        if let Some(stream) = self.streams.remove(&id) {
            stream.changed.notify_waiters();
        }
    }

    /// Starts the prefill of the queued stream with the highest priority, the oldest first; returns
    /// the stream and the duration of its prefill.
    pub(super) fn begin_prefill(&mut self) -> Option<(StreamId, Duration)> {
        let queued = self
            .streams
            .iter()
            .filter(|(_, s)| s.stage == Stage::Queued);
        let next = queued.max_by_key(|(_, s)| (s.priority, std::cmp::Reverse(s.arrival_number)));
        let id = next.map(|(id, _)| *id)?;
        let stream = self.streams.get_mut(&id)?;
        stream.stage = Stage::Prefilling;
        *self.executions.entry(stream.answer.digest()).or_default() += 1;
        let cached = self.cache.cached_prefix_blocks(&stream.prefix) as u64 * BLOCK_TOKENS;
        let tokens = stream.prompt_tokens.saturating_sub(cached) as f64;
        let rate = self.options.prefill_rate * f64::from(stream.members);
        Some((id, Duration::from_secs_f64(tokens / rate)))
    }

    pub(super) fn end_prefill(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.stage = Stage::Decoding;
        let prefix = stream.prefix.clone();
        self.cache.store(&prefix, self.options.cache_blocks);
        // The prefill yields the first token.
        self.add_token(id, Instant::now());
    }

    /// Runs a decode step for all decoding streams and removes finished streams whose retention
    /// has ended. Returns whether any stream was decoding.
    pub(super) fn step(&mut self, now: Instant) -> bool {
        let decoding = self
            .streams
            .iter()
            .filter(|(_, s)| s.stage == Stage::Decoding);
        let ids: Vec<_> = decoding.map(|(id, _)| *id).collect();
        for id in &ids {
            self.add_token(*id, now);
        }
        let kept =
            |s: &Stream| !matches!(s.stage, Stage::Finished(at) if now - at > FINISHED_RETENTION);
        self.streams.retain(|_, s| kept(s));
        !ids.is_empty()
    }

    pub(super) fn decoding_streams(&self) -> usize {
        let decoding = |s: &&Stream| s.stage == Stage::Decoding;
        self.streams.values().filter(decoding).count()
    }

    fn add_token(&mut self, id: StreamId, now: Instant) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.generated_tokens < stream.answer.tokens() {
            if stream.generated_tokens >= stream.read_tokens + MAX_UNREAD_TOKENS {
                return;
            }
            stream.generated_tokens += 1;
        }
        if stream.generated_tokens >= stream.answer.tokens() {
            stream.stage = Stage::Finished(now);
            self.lends.remove(&id);
        }
        if let Some(stream) = self.streams.get(&id) {
            stream.changed.notify_waiters();
        }
    }

    fn check_memory(&self, tokens: u64) -> Result<(), Rejection> {
        if self.used_tokens() + tokens > self.options.memory_tokens {
            return Err(Rejection::NoMemory);
        }
        Ok(())
    }
}
