//! Handles callers' requests on a node, from admission to the last token, and the operators'
//! interface.

mod addresses;
mod admin;
mod admin_messages;
mod answers;
mod call;
mod caller_events;
mod event_reader;
mod generate;
mod headers;
mod job;
mod problems;
mod relay;
mod reporter;
mod reserve;
mod respond;
mod resume_token;
mod router;
mod run_job;
mod sink;
mod start_stream;
mod state;

pub use addresses::{AddressReply, EntryAddress};
pub use admin::AdminHandler;
pub use admin_messages::{BurnReply, ExplainReply, HostRow, PoolRow, PutRules};
pub use call::ServiceLoad;
pub use caller_events::{CallerEvent, EndEvent, StartEvent, TokenText};
pub use event_reader::EventReader;
pub use generate::GenerateBody;
pub use headers::{
    HEADER_ACCOUNT, HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY, HEADER_IDEMPOTENT, HEADER_KIND,
    HEADER_RESUME_TOKEN,
};
pub use reporter::{ReportSender, spawn_reporter};
pub use router::CallerHandler;
pub use state::{BODY_PERMIT_BYTES, Traffic};
