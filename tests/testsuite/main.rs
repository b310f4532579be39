//! Integration tests, one module per subject.

mod bad_input;
mod ci;
mod command_line;
mod days;
mod engine_memory;
mod losses;
mod operators;
mod platform;
mod processes;
mod rules;
mod scenario;
mod store_calls;
