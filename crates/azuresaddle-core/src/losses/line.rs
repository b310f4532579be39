//! Log lines about requests.

use serde::Deserialize;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields of a log line that the report uses; each kind of line has some of them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LogLine {
    timestamp: String,
    pub(super) message: String,
    pub(super) request: Option<String>,
    pub(super) route: Option<String>,
    pub(super) prompt_tokens: Option<u64>,
    pub(super) status: Option<u16>,
    pub(super) runs: Option<u32>,
    pub(super) age_ms: Option<u64>,
    pub(super) waited_ms: Option<u64>,
    pub(super) queued_ms: Option<u64>,
    pub(super) expected_ms: Option<u64>,
    pub(super) first_event_ms: Option<u64>,
    pub(super) target_ms: Option<u64>,
    pub(super) longest_pause_ms: Option<u64>,
    pub(super) pause_target_ms: Option<u64>,
}

impl LogLine {
    /// Parses a line, skipping text before the JSON object, such as a log collector's timestamp.
    /// Returns `None` if the line is not about a request.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let line: Self = serde_json::from_str(json).ok()?;
        line.request.is_some().then_some(line)
    }

    /// Time of the line, in milliseconds since the Unix epoch.
    pub(super) fn timestamp_ms(&self) -> Option<i64> {
        let at = OffsetDateTime::parse(&self.timestamp, &Rfc3339).ok()?;
        i64::try_from(at.unix_timestamp_nanos() / 1_000_000).ok()
    }
}
