//! Owner changes, owner stalls and split brain.

use azuresaddle_sched::passes::RunningStream;
use tokio::time::Instant;

use super::{Event, NODE_ID, OWNER_DELAY_MS, Simulation, Stream};

impl Simulation<'_> {
    /// Gives each pool a new owner, which learns the running streams from the nodes.
    pub(super) fn change_owner(&mut self, at_ms: f64) {
        for index in 0..self.placers.len() {
            self.take_over(at_ms, index, &[index]);
        }
    }

    /// Makes a new owner of a pool take over the streams of the placers in `from`.
    fn take_over(&mut self, at_ms: f64, index: usize, from: &[usize]) {
        let now = self.instant(at_ms);
        let Some(mut pool) = self.new_pool(now, index) else {
            return;
        };
        let is_taken = |s: &Stream| from.contains(&s.placer);
        let all = 0..self.streams.len();
        let running: Vec<RunningStream> = all
            .filter(|i| is_taken(&self.streams[*i]))
            .filter_map(|i| self.running(now, at_ms, i))
            .collect();
        pool.sync_node(now, NODE_ID, &running, |_| false);
        for stream in self.streams.iter_mut().filter(|s| is_taken(s)) {
            stream.placer = index;
            if let (Some(placement), None) = (&stream.placement, &stream.grant) {
                pool.enqueue(now, placement.clone());
            }
        }
        self.placers[index].pool = pool;
    }

    /// Stalls the owner of the first pool.
    pub(super) fn stall(&mut self, at_ms: f64) {
        let (Some(stall), Some(first)) =
            (self.workload.faults.owner_stalls, self.placers.first_mut())
        else {
            return;
        };
        let until_ms = at_ms + stall.duration_s * 1000.0;
        first.stalled_until_ms = until_ms;
        self.push(until_ms, Event::Wakeup(0));
    }

    /// Ends the split brain: one owner of the first pool takes over the streams of both.
    pub(super) fn end_split_brain(&mut self, at_ms: f64) {
        let second_owner = self.pool_count();
        if second_owner < self.placers.len() {
            self.take_over(at_ms, 0, &[0, second_owner]);
        }
    }

    /// The report of a running stream to a new owner of its pool.
    pub(super) fn running(&self, now: Instant, at_ms: f64, i: usize) -> Option<RunningStream> {
        let stream = &self.streams[i];
        let placement = stream.placement.as_ref()?;
        let (grant, first_event_at) = stream.grant.as_ref()?;
        let is_writing = stream
            .first_at
            .is_some_and(|at| at + OWNER_DELAY_MS <= at_ms);
        Some(RunningStream {
            id: placement.id,
            lead: grant.lead.clone(),
            helpers: grant.helpers.clone(),
            helper_memory_tokens: grant.helper_memory_tokens,
            prompt_tokens: placement.prompt_tokens,
            answer_tokens: placement.answer_tokens,
            pause: placement.pause,
            is_decoding: is_writing,
            first_event_in: first_event_at.saturating_duration_since(now),
            suspect: placement.suspect,
        })
    }
}
