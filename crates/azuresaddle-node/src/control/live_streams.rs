//! Attempts that this node waits for or relays.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::prelude::*;

/// Set of live attempts with their pools; traffic updates it and heartbeats list it.
#[derive(Clone, Debug, Default)]
pub struct LiveStreams {
    streams: Arc<Mutex<HashMap<StreamId, PoolId>>>,
}

impl LiveStreams {
    /// Adds an attempt until the returned guard is dropped.
    pub fn register(&self, stream: StreamId, pool: &PoolId) -> LiveStreamGuard {
        self.lock().insert(stream, pool.clone());
        LiveStreamGuard {
            streams: self.clone(),
            stream,
        }
    }

    /// Lists the attempts in the pools for which `is_wanted` returns true.
    pub fn list(&self, is_wanted: impl Fn(&PoolId) -> bool) -> Vec<StreamId> {
        let streams = self.lock();
        let wanted = streams.iter().filter(|(_, pool)| is_wanted(pool));
        wanted.map(|(stream, _)| *stream).collect()
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there are no attempts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<StreamId, PoolId>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes its attempt when dropped.
#[derive(Debug)]
pub struct LiveStreamGuard {
    streams: LiveStreams,
    stream: StreamId,
}

impl Drop for LiveStreamGuard {
    fn drop(&mut self) {
        self.streams.lock().remove(&self.stream);
    }
}
