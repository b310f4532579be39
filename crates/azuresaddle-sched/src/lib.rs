//! Scheduling decisions of a pool, without I/O.
//!
//! The caller passes in events and the current time and carries out the returned [`Action`]s. The
//! daemon, the tests (on a paused clock) and the experiment tool run the same code, so measurements
//! apply to production.

mod action;
pub mod addresses;
mod breaker;
mod class;
mod demand;
mod drain;
mod fair_clock;
mod fallback;
mod limits;
mod options;
mod outcome;
pub mod passes;
pub mod paths;
mod pool;
mod pool_digest;
mod prefix_index;
pub mod quarantine;
mod queue;
mod rate;
mod rate_bucket;
mod reservation;
mod reservation_request;
mod retry_budget;
mod target;
pub mod target_health;

pub use action::{Action, Grant, Refusal, RefusalReason};
pub use breaker::Breaker;
pub use class::Class;
pub use fallback::{FallbackPlacer, FallbackTarget};
pub use options::PoolOptions;
pub use outcome::Outcome;
pub use pool::Pool;
pub use pool_digest::{PoolDigest, choose_pool};
pub use prefix_index::{CacheEvent, CacheEventKind, PrefixIndex};
pub use rate_bucket::RateBucket;
pub use reservation::LiveStream;
pub use reservation_request::ReservationRequest;
pub use target::TargetSpec;
