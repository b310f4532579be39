//! Client of the model engines. Another dialect of engine touches only this module.

mod client;
mod error;
mod event_stream;
pub mod wire;

pub use client::EngineClient;
pub use error::EngineError;
pub use event_stream::{EngineStream, StreamError};
