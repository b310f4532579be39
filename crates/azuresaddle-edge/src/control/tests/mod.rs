//! Tests of what control believes.

mod members;
mod registry;
mod succession;
