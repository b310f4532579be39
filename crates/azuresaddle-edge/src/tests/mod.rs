//! Values shared by the tests of several modules.

pub(crate) mod settings;
pub(crate) mod snapshots;
