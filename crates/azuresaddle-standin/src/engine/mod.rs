//! Stand-in of a model engine.
//!
//! Prefills run one at a time in order of priority; a running one ends early only when it is
//! cancelled. Decoding is
//! batched: each running stream gets one token a step, slower the more streams there are. A stream
//! that nobody reads stops decoding once its buffer is full, and holds its memory until it is
//! cancelled, as a real engine's would.

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
