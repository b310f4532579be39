//! Tests of what control believes.

mod crash_spread;
mod fleet;
mod members;
mod registry;
mod succession;
