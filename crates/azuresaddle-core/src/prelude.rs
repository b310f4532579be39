//! Types that nearly every module uses.

pub use crate::fingerprint::Fingerprint;
pub use crate::names::{ClientAccount, FailureDomain, HostName, Model};
pub use crate::net::{Listener, Network};
pub use crate::pool_id::PoolId;
pub use crate::problem::Problem;
pub use crate::request_id::RequestId;
pub use crate::spawner::Spawner;
pub use crate::stream_id::StreamId;
pub use crate::task_failure::{TaskEnd, TaskFailure};
pub use crate::verdict::Verdict;
pub use crate::version::{Epoch, Incarnation, RulesVersion};
