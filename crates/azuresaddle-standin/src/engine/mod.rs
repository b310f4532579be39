//! Stand-in of a model engine.
//!
//! Prefills run one at a time in order of priority; a running prefill ends early only when its
//! stream is cancelled. Decoding is batched: each decoding stream gets one token per step, and a
//! step takes longer the more streams there are. As in a real engine, a stream that nobody reads
//! stops decoding once its buffer is full and holds its memory until it is cancelled.

mod cache;
mod faults;
mod loops;
mod options;
mod sender;
mod server;
mod state;
mod stream;

pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use server::EngineServer;
