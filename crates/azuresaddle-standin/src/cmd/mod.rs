//! Subcommands, one module each.

pub(crate) mod args;
pub(crate) mod capacity;
pub(crate) mod demo;
pub(crate) mod engine;
pub(crate) mod experiment;
pub(crate) mod hosts;
pub(crate) mod load;
pub(crate) mod passes;
pub(crate) mod service;
pub(crate) mod soak;
pub(crate) mod store;
