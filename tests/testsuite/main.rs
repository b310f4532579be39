//! Integration tests, one module a subject.

mod bad_input;
mod command_line;
mod processes;
mod scenario;
mod store_calls;
