//! Client of the model engines. Another dialect of engine touches only this module.

mod client;
mod event_stream;
mod failure;
pub mod wire;

pub use client::EngineClient;
pub use event_stream::{EngineStream, StreamFailure};
pub use failure::EngineFailure;
