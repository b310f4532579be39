//! Tests of what control believes.

mod fleet;
mod members;
mod registry;
mod succession;
