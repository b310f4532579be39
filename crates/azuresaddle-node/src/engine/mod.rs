//! Client of the model engines. Only this module depends on their HTTP interface.

mod client;
mod error;
mod event_stream;
pub mod wire;

pub use client::EngineClient;
pub use error::EngineError;
pub use event_stream::{EngineStream, StreamError};
