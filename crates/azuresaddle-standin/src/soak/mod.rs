//! A randomized soak test: real node processes, injected faults, and callers that check the guarantees of the
//! nodes.

mod callers;
mod change_checks;
mod changes;
mod crashers;
mod disturbances;
mod faults;
mod fleet;
mod odd_entries;
mod overlaps;
mod process;
mod proxy;
mod report;
mod run;
mod signal_checks;
mod signals;
mod slow_readers;
mod stalled_readers;
mod version_log;
mod waiting_callers;

pub use crate::http_util::get_status;
pub use faults::FaultOptions;
pub use fleet::{Fleet, FleetOptions, next_port};
pub use process::NodeProcess;
pub use proxy::{Proxy, ProxyMode};
pub use report::SoakReport;
pub use run::{SoakOptions, run_soak};
