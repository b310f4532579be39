//! Tests of the scheduling decisions.

mod addresses;
mod admission;
mod breaker;
mod conservation;
mod evidence;
mod fallback;
mod passes;
mod paths;
mod pool;
mod pool_choice;
mod prefix_index;
mod prompt_parts;
mod quarantine;
mod rate_bucket;
mod support;
mod target_health;
