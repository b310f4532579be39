//! Messages of a model engine's HTTP interface.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/streams` | [`StartRequest`] | server-sent [`TokenEvent`]s |
//! | `GET /v1/streams/ID?after=N&node=H&take-over=B` | | server-sent [`TokenEvent`]s from index N |
//! | `DELETE /v1/streams/ID?pool=P&epoch=E` | | [`GoneReply`]; also for an unknown id; a finished stream stays readable |
//! | `POST /v1/lends` | [`LendRequest`] | [`GoneReply`] with `gone: false` |
//! | `GET /v1/streams` | | [`StreamList`] |
//! | `GET /v1/load` | | [`LoadReport`] |
//! | `GET /v1/cache?after=N` | | [`CacheChanges`] |
//! | `GET /v1/cache/listing` | | [`CacheListing`] |
//!
//! Failures are problem bodies; their `title` is one of the `TITLE_` constants. A comment line is
//! sent at least each second while no token is ready.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{CacheEvent, LiveStream};
use serde::{Deserialize, Serialize};

/// The order carries an old fencing number.
pub const TITLE_FENCED: &str = "fenced";
/// The engine lacks memory; the request did not start.
pub const TITLE_NO_MEMORY: &str = "no-memory";
/// The engine runs the stream already.
pub const TITLE_DUPLICATE: &str = "duplicate";
/// Another node reads the stream.
pub const TITLE_DISPLACED: &str = "displaced";
/// The engine does not know the stream.
pub const TITLE_UNKNOWN_STREAM: &str = "unknown-stream";

/// Fencing number of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FencingToken {
    /// Name of the pool.
    pub pool: String,
    /// Epoch of the pool's owner.
    pub epoch: Epoch,
}

/// Starts a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartRequest {
    /// The attempt.
    pub stream: StreamId,
    /// The node that reads it.
    pub node: HostName,
    /// Who asks.
    pub account: ClientAccount,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer that the caller has already.
    pub prior: Vec<String>,
    /// Most tokens of the answer, the prior ones included.
    pub max_tokens: u64,
    /// From -8 to 8.
    pub priority: i8,
    /// Memory to hold, in tokens.
    pub memory_tokens: u64,
    /// Engines that share the prefill, this one included.
    pub members: u32,
    /// Fencing number.
    pub fence: FencingToken,
}

/// Holds memory for a stream that another engine leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LendRequest {
    /// The attempt.
    pub stream: StreamId,
    /// The node that reads it.
    pub node: HostName,
    /// Who asks.
    pub account: ClientAccount,
    /// Memory to hold, in tokens.
    pub memory_tokens: u64,
    /// Fencing number.
    pub fence: FencingToken,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenEvent {
    /// The attempt.
    pub stream: StreamId,
    /// Position in the answer, from 0.
    pub index: u64,
    /// Text of the token.
    pub token: String,
    /// Whether the answer is whole with this token.
    pub last: bool,
}

/// Whether a stream is gone and its memory free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GoneReply {
    /// True once the engine holds nothing for the stream.
    pub gone: bool,
}

/// All streams that an engine holds memory for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StreamList {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The streams, lent memory included.
    pub streams: Vec<LiveStream>,
}

/// Load of an engine, some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Memory held, in tokens.
    pub used_tokens: u64,
    /// Streams that are queued or run.
    pub streams: u64,
    /// Sequence of the latest cache event.
    pub cache_sequence: u64,
}

/// Changes of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheChanges {
    /// Events in order; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// All of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheListing {
    /// Sequence of the latest event that the listing contains.
    pub sequence: u64,
    /// Chained hashes of the cached blocks.
    pub blocks: Vec<u64>,
}
