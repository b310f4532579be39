//! What control asks of the task that reads the store.

use std::time::Duration;

use azuresaddle_platform::StorePosition;

/// Whether and how a node reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadPlan {
    /// Minimum interval between two watch calls, so that changes in quick succession share a call;
    /// `None` if other nodes watch.
    pub(super) watch_interval: Option<Duration>,
    /// Who reads the content of the store for a node that has just started.
    pub(super) first_listing: FirstListing,
    /// Position from which a node watches whose first listing another node has provided.
    pub(super) position: StorePosition,
}

/// Who reads the content of the store for a node that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstListing {
    /// The node itself.
    Own,
    /// The node itself reads the first page, which contains the configuration. Another node, which
    /// has all targets, provides the remaining pages.
    Expected,
    /// Another node has provided everything.
    Provided,
}

impl ReadPlan {
    /// Whether another node has provided the content of the store.
    pub(super) fn is_provided(&self) -> bool {
        self.first_listing == FirstListing::Provided
    }

    /// Whether it is known who reads the pages after the first one.
    pub(super) fn is_decided(&self) -> bool {
        self.first_listing != FirstListing::Expected
    }
}
