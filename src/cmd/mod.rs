//! Subcommands, one file each.

pub(crate) mod admin;
pub(crate) mod ask;
mod bad_input;
pub(crate) mod burn;
mod burn_plot;
pub(crate) mod check;
pub(crate) mod hosts;
mod log_files;
pub(crate) mod losses;
pub(crate) mod node;
mod node_settings;
mod output;
pub(crate) mod pools;
pub(crate) mod quarantine;
pub(crate) mod rules;
mod runtime;
pub(crate) mod serve;
pub(crate) mod targets;
pub(crate) mod trace;

pub(crate) use bad_input::BadInput;
