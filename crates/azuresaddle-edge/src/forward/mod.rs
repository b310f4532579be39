//! Forwards requests to targets.

mod answer_bytes;
mod answer_watch;
mod attempt;
mod body;
mod broken_sends;
mod choose_target;
mod crash_check;
mod disconnect_log;
mod event_buffer;
mod event_splitter;
mod forwarder;
mod head;
mod hedge;
mod interim_answers;
mod pace_probes;
mod pending_crash_checks;
mod plain;
mod plain_connect;
mod plain_request;
mod plain_send;
mod problem;
mod reservations;
mod retry_budget;
mod room_claims;
mod send_gate;
mod send_history;
mod sends_in_flight;
mod signals;
mod stopping;
mod stream;
mod target_call;
#[cfg(test)]
mod tests;

pub(crate) use answer_bytes::AnswerBytes;
pub(crate) use answer_watch::{AnswerWatch, MAX_READ_PAUSE};
pub(crate) use body::{AnswerAborted, InFlightAnswerGuard, InFlightAnswers, ProxyBody};
pub(crate) use forwarder::{Forwarder, ForwarderParts};
pub(crate) use head::{ForwardRequest, RequestHead, fingerprint_of, prompt_parts_of};
pub(crate) use problem::{problem_response, refusal};
pub(crate) use send_gate::SendGate;
pub(crate) use stopping::stopping_refusal;
