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
//! Errors are returned as [`Problem`]s; their `title` is one of the `TITLE_` constants. While no
//! token is ready, a comment line is sent at least once per second.

use azuresaddle_core::bounded_tokens;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::{CacheEvent, LiveStream};
use serde::{Deserialize, Serialize};

/// The request carries an outdated fencing token.
pub const TITLE_FENCED: &str = "fenced";
/// The engine has too little free memory; the request was not started.
pub const TITLE_NO_MEMORY: &str = "no-memory";
/// The engine is already running the stream.
pub const TITLE_DUPLICATE: &str = "duplicate";
/// Another node reads the stream.
pub const TITLE_DISPLACED: &str = "displaced";
/// The engine does not know the stream.
pub const TITLE_UNKNOWN_STREAM: &str = "unknown-stream";

/// Fencing token of a request; the engine refuses one with an outdated epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FencingToken {
    /// Name of the pool.
    pub pool: String,
    /// Epoch of the pool's owner.
    pub epoch: Epoch,
}

/// Request to start a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartRequest {
    /// The attempt.
    pub stream: StreamId,
    /// The node that reads it.
    pub node: HostName,
    /// The client account of the request.
    pub account: ClientAccount,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer that the caller already has.
    pub prior: Vec<String>,
    /// Maximum length of the answer, in tokens, including the prior ones.
    pub max_tokens: u64,
    /// Priority, from -8 to 8.
    pub priority: i8,
    /// Memory to reserve, in tokens.
    pub memory_tokens: u64,
    /// Number of engines that share the prefill, this one included.
    pub members: u32,
    /// Fencing token of the pool's owner.
    pub fence: FencingToken,
}

/// Request to reserve memory for a stream that runs on another engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LendRequest {
    /// The attempt.
    pub stream: StreamId,
    /// The node that reads it.
    pub node: HostName,
    /// The client account of the request.
    pub account: ClientAccount,
    /// Memory to reserve, in tokens.
    pub memory_tokens: u64,
    /// Fencing token of the pool's owner.
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
    /// Whether this token completes the answer.
    pub last: bool,
}

/// Reply that tells whether a stream is gone and its memory is free.
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
    /// The streams, including those that only hold lent memory.
    pub streams: Vec<LiveStream>,
}

/// Load of an engine; it may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// KV-cache capacity, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Number of queued and running streams.
    pub streams: u64,
    /// Sequence number of the latest cache event.
    pub cache_sequence: u64,
}

/// Changes of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheChanges {
    /// Events in order; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Full listing of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheListing {
    /// Sequence number of the latest event included in the listing.
    pub sequence: u64,
    /// Chained hashes of the cached blocks.
    pub blocks: Vec<u64>,
}
