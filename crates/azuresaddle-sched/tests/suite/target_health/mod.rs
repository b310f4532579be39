//! Tests of the shared health of plain targets.

mod ejection;
mod probes;
mod replay;
mod silent_targets;
mod support;
