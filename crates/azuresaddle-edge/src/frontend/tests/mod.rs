//! Tests of callers and targets that stop reading, with a whole request path on a paused clock.

mod bodies;
mod caller;
mod memory;
mod slow_callers;
mod target;
mod test_node;
