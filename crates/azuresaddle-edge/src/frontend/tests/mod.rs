//! Tests of callers and targets that stop reading, and of stopping nodes, with a whole request path on a paused clock.

mod bodies;
mod caller;
mod connect_silences;
mod hedged_sends;
mod keep_alive;
mod long_prompts;
mod memory;
mod methods;
mod odd_answers;
mod outdated;
mod scripted_targets;
mod silent_targets;
mod single_runs;
mod slow_callers;
mod stopping;
mod stream_takeover;
mod target;
mod test_node;
