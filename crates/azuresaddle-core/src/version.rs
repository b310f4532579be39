//! Monotonically increasing numbers: fencing epochs, process incarnations and rules versions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one; the highest one is followed by itself.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

counter_type!(
    /// Fencing token of a pool's ownership; increases with every change of owner.
    Epoch
);
counter_type!(
    /// Identifies one run of a process; a restarted process gets a new one.
    Incarnation
);
counter_type!(
    /// Version of the operators' rules document.
    RulesVersion
);
