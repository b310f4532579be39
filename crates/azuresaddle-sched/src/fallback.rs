//! Placement of requests by a node while the pool has no owner.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use rand::Rng;

use crate::action::{Grant, Refusal, RefusalReason};
use std::time::Duration;

/// Retry delay for a prompt that only an owner can place.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// A target as known to a node while the pool has no owner.
#[derive(Clone, Debug)]
pub struct FallbackTarget {
    /// Name of the target's host.
    pub name: HostName,
    /// Memory, in tokens.
    pub memory_tokens: u64,
}

/// Places requests by power of two choices within this node's share of each target's memory.
///
/// The shares of all nodes add up to the target's memory, so the nodes together can't overcommit
/// it. A request that needs more than one share is refused, because only an owner could place it.
#[derive(Debug, Default)]
pub struct FallbackPlacer {
    held: HashMap<HostName, u64>,
    streams: HashMap<StreamId, Grant>,
}

impl FallbackPlacer {
    /// Reserves memory in this node's share, `1 / nodes` of each target.
    ///
    /// # Errors
    /// Returns a refusal if no target has enough memory left in this node's share.
    pub fn place<R: Rng>(
        &mut self,
        rng: &mut R,
        targets: &[FallbackTarget],
        nodes: usize,
        stream: StreamId,
        memory_tokens: u64,
    ) -> Result<Grant, Refusal> {
        let share = |t: &FallbackTarget| t.memory_tokens / nodes.max(1) as u64;
        let room = |t: &FallbackTarget| share(t).saturating_sub(self.held(&t.name));
        let fitting: Vec<_> = targets
            .iter()
            .filter(|t| room(t) >= memory_tokens)
            .collect();
        if fitting.is_empty() {
            let fits_empty = targets.iter().any(|t| share(t) >= memory_tokens);
            let reason = match (targets.is_empty(), fits_empty) {
                (true, _) => RefusalReason::NoTarget,
                (false, true) => RefusalReason::QueueFull,
                (false, false) => RefusalReason::TooLarge,
            };
            return Err(Refusal {
                reason,
                retry_after: Some(RETRY_AFTER),
            });
        }
        let one = fitting[rng.random_range(0..fitting.len())];
        let two = fitting[rng.random_range(0..fitting.len())];
        let target = if room(one) >= room(two) { one } else { two };
        *self.held.entry(target.name.clone()).or_default() += memory_tokens;
        let grant = Grant {
            stream,
            targets: vec![target.name.clone()],
            memory_tokens,
        };
        self.streams.insert(stream, grant.clone());
        Ok(grant)
    }

    /// Releases the memory held by a stream; unknown streams are ignored.
    pub fn release(&mut self, stream: StreamId) {
        let Some(grant) = self.streams.remove(&stream) else {
            return;
        };
        for target in &grant.targets {
            if let Some(held) = self.held.get_mut(target) {
                *held = held.saturating_sub(grant.memory_tokens);
            }
        }
    }

    fn held(&self, target: &HostName) -> u64 {
        self.held.get(target).copied().unwrap_or(0)
    }
}
