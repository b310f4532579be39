//! One request, assembled from its log lines.

use super::line::LogLine;
use super::reason::Reason;

/// A refusal is immediate if it comes within the latency target divided by this.
const IMMEDIATE_REFUSAL_DIVISOR: u64 = 8;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Answered,
    Refused,
    GivenUp,
    CallerLeft,
    EndedByStop,
}

/// One request, as far as its log lines describe it.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) route: Option<String>,
    pub(super) prompt_tokens: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub(super) arrived_ms: i64,
    end: Option<(End, LogLine)>,
}

impl Request {
    /// Adds a log line of the request.
    pub(super) fn add_line(&mut self, line: LogLine) {
        if let Some(route) = &line.route {
            self.route = Some(route.clone());
        }
        if let Some(tokens) = line.prompt_tokens {
            self.prompt_tokens = tokens;
        }
        let age = line.age_ms.or(line.waited_ms);
        if let (Some(at), Some(age)) = (line.timestamp_ms(), age) {
            self.arrived_ms = at.saturating_sub_unsigned(age);
        }
        let end = match line.message.as_str() {
            "stream complete" => End::Complete,
            "answered" => End::Answered,
            "stream refused" => End::Refused,
            "stream given up" | "given up" => End::GivenUp,
            "caller left" => End::CallerLeft,
            "ended by the stop of the node" | "cut by the stop of the node" => End::EndedByStop,
            _ => return,
        };
        // A complete answer takes precedence over the caller closing the connection.
        if self.end.as_ref().is_none_or(|(e, _)| *e == End::CallerLeft) {
            self.end = Some((end, line));
        }
    }

    /// Why the request lost worth, or that it was on time.
    pub(super) fn reason(&self) -> Reason {
        let Some((end, line)) = &self.end else {
            return Reason::NodeEnded;
        };
        let runs = line.runs.unwrap_or(0);
        match end {
            End::CallerLeft => Reason::CallerLeft,
            End::EndedByStop => Reason::NodeEnded,
            End::Complete => reason_of_stream(line),
            End::Answered => reason_of_answer(line),
            End::Refused | End::GivenUp if runs == 0 => reason_of_refusal(line),
            End::Refused | End::GivenUp => Reason::TargetFailed,
        }
    }
}

fn reason_of_stream(line: &LogLine) -> Reason {
    let target = line.target_ms.unwrap_or(u64::MAX);
    let first = line.first_event_ms.unwrap_or(0);
    if first > target {
        let queued = line.queued_ms.unwrap_or(0);
        let expected = line.expected_ms.unwrap_or(0);
        if queued.saturating_add(expected) <= target {
            return Reason::LateAtEngine;
        }
        return if queued > expected {
            Reason::LateInQueue
        } else {
            Reason::LateByPlan
        };
    }
    let longest = line.longest_pause_ms.unwrap_or(0);
    if longest <= line.pause_target_ms.unwrap_or(u64::MAX) {
        return Reason::OnTime;
    }
    if line.runs.unwrap_or(0) > 0 {
        Reason::PauseByFailover
    } else {
        Reason::PauseAtEngine
    }
}

fn reason_of_answer(line: &LogLine) -> Reason {
    if line.status.is_none_or(|s| s >= 400) {
        return Reason::TargetFailed;
    }
    if line.age_ms > line.target_ms {
        return Reason::LateAnswer;
    }
    Reason::OnTime
}

fn reason_of_refusal(line: &LogLine) -> Reason {
    let age = line.age_ms.unwrap_or(0);
    let target = line.target_ms.unwrap_or(0);
    if age.saturating_mul(IMMEDIATE_REFUSAL_DIVISOR) <= target {
        Reason::RefusedAtOnce
    } else {
        Reason::RefusedLater
    }
}
