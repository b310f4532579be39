//! Tests of the stand-ins' tools.

mod experiment;
mod passes;
