//! Tests of the experiment tools.

mod experiment;
mod passes;
