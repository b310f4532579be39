//! Answers that break the protocol.

use std::time::Duration;

use azuresaddle_standin::platform::{RawAnswer, RawEnd};

/// Pause before each byte of a slow answer.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);

/// What a caller may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// A failure, or a connection that breaks visibly.
    Failure,
    /// The whole answer.
    Whole,
}

/// An answer, and what its caller may receive.
#[derive(Clone, Debug)]
pub(super) struct Case {
    pub(super) name: String,
    pub(super) answer: RawAnswer,
    pub(super) expected: Expected,
}

impl Case {
    fn new(name: impl Into<String>, start: impl Into<String>, end: RawEnd) -> Self {
        Self {
            name: name.into(),
            answer: RawAnswer {
                start: start.into(),
                end,
            },
            expected: Expected::Failure,
        }
    }

    fn whole(self) -> Self {
        Self {
            expected: Expected::Whole,
            ..self
        }
    }
}

/// Status line and headers of an answer to the request, without its length.
fn head(status: &str) -> String {
    let id = azuresaddle_platform::headers::ATTEMPT_ID;
    let signature = azuresaddle_platform::headers::SIGNATURE;
    format!("HTTP/1.1 {status}\r\n{id}: {{attempt}}\r\n{signature}: {{signature}}\r\n")
}

fn ok() -> String {
    head("200 OK")
}

fn with_length() -> String {
    format!("{}content-length: {{length}}\r\n", ok())
}

fn chunked() -> String {
    format!("{}transfer-encoding: chunked\r\n\r\n", ok())
}

/// Answers that end too early, by a close and a reset, or that don't go on.
pub(super) fn cut_answers() -> Vec<Case> {
    let starts = [
        ("nothing", String::new()),
        ("status line", "HTTP/1.1 20".to_owned()),
        ("end of the status line", "HTTP/1.1 200 OK\r\n".to_owned()),
        ("header name", format!("{}content-le", ok())),
        ("header value", format!("{}content-length: 1", ok())),
        ("end of the headers", with_length()),
        (
            "last line of the head",
            format!("{}content-length: 0\r\n\r", ok()),
        ),
        ("length without body", format!("{}\r\n", with_length())),
        ("body", format!("{}\r\n{{half}}", with_length())),
        (
            "first bytes of the body",
            format!("{}\r\n{{few}}", with_length()),
        ),
        ("chunk size", format!("{}1", chunked())),
        ("chunk", format!("{}fff\r\n{{half}}", chunked())),
        ("last chunk", format!("{}{{chunk}}", chunked())),
        (
            "end of the last chunk",
            format!("{}{{chunk}}0\r\n", chunked()),
        ),
    ];
    let ends = [
        ("close", RawEnd::Close),
        ("reset", RawEnd::Reset),
        ("silence", RawEnd::Silence),
    ];
    let cases = starts.iter().flat_map(|(place, start)| {
        ends.map(|(end, raw)| Case::new(format!("{end} in the {place}"), start, raw))
    });
    cases.collect()
}

/// Streams without a length that end inside an event.
pub(super) fn cut_events() -> Vec<Case> {
    let start = format!("{}connection: close\r\n\r\n", ok());
    vec![
        Case::new(
            "close in the first event",
            format!("{start}{{few}}"),
            RawEnd::Close,
        ),
        Case::new(
            "close in a later event",
            format!("{start}{{half}}"),
            RawEnd::Close,
        ),
        Case::new(
            "reset in a later event",
            format!("{start}{{half}}"),
            RawEnd::Reset,
        ),
        Case::new(
            "reset after the events",
            format!("{start}{{body}}"),
            RawEnd::Reset,
        ),
    ]
}

/// Streams that have begun and then send bytes without end that complete no event.
pub(super) fn endless_events() -> Vec<Case> {
    let unframed = format!("{}connection: close\r\n\r\n{{half}}", ok());
    let chunked = format!("{}{{chunk}}", chunked());
    let mut cases = both_paces("event", &unframed, "b");
    cases.extend(both_paces("event in chunks", &chunked, "1\r\nb\r\n"));
    cases.extend(both_paces("events of no text", &unframed, "\u{1}"));
    cases.push(Case::new(
        "silence in a later event",
        &unframed,
        RawEnd::Silence,
    ));
    cases
}

/// An answer without end as fast as it is taken, and a slow one.
fn both_paces(name: &str, start: &str, bytes: &'static str) -> Vec<Case> {
    vec![
        Case::new(format!("endless {name}"), start, RawEnd::Endless(bytes)),
        Case::new(
            format!("slow {name}"),
            start,
            RawEnd::Trickle(bytes, TRICKLE_PAUSE),
        ),
    ]
}

/// Heads and bodies without end, fast and slow.
pub(super) fn endless_answers() -> Vec<Case> {
    let huge = format!("{}content-length: 999999999999\r\n\r\n", ok());
    let unframed = format!("{}connection: close\r\n\r\n", ok());
    let failed = format!(
        "{}connection: close\r\n\r\n",
        head("500 Internal Server Error")
    );
    let declined = azuresaddle_platform::headers::NOT_RUN;
    let declined = format!("{}{declined}: 1\r\n\r\n", head("503 Service Unavailable"));
    let endless = [
        ("header lines", ok(), "a: b\r\n"),
        ("header value", format!("{}a: ", ok()), "b"),
        ("header name", ok(), "b"),
        ("junk", String::new(), "\u{1}\u{2}junk"),
        ("empty lines", String::new(), "\r\n"),
        ("status line", "HTTP/1.1 200 ".to_owned(), "O"),
        (
            "interim answers",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        (
            "interim answers with headers",
            String::new(),
            "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
        ),
        ("body of a huge length", huge, "b"),
        ("chunks", chunked(), "1\r\nb\r\n"),
        ("chunk size", chunked(), "0"),
        ("chunk extension", format!("{}1;", chunked()), "b"),
        (
            "trailers",
            format!("{}{{chunk}}0\r\n", chunked()),
            "a: b\r\n",
        ),
        ("body without a length", unframed.clone(), "b"),
        ("events", unframed, "data: b\n\n"),
        ("failure", failed, "b"),
        ("refusal", declined, "b"),
    ];
    let cases = endless.into_iter();
    cases
        .flat_map(|(name, start, bytes)| both_paces(name, &start, bytes))
        .collect()
}

/// Whole answers that are followed by bytes without end.
pub(super) fn answers_with_excess() -> Vec<Case> {
    let start = format!("{}\r\n{{body}}", with_length());
    let excess = [
        ("junk", "b"),
        ("answers", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
    ];
    let cases = excess.into_iter();
    cases
        .flat_map(|(name, bytes)| both_paces(name, &start, bytes))
        .map(Case::whole)
        .collect()
}

/// Whole answers with a value that their receiver can't use.
pub(super) fn odd_headers(name: &str, values: &[&str]) -> Vec<Case> {
    let cases = values.iter().map(|value| {
        let start = format!("{}{name}: {value}\r\n\r\n{{body}}", with_length());
        Case::new(format!("{name}: {value:.60}"), start, RawEnd::Next)
    });
    cases.map(Case::whole).collect()
}

/// Answers with a length that is none, or not the right one.
pub(super) fn odd_lengths() -> Vec<Case> {
    let values = [
        "",
        "-1",
        "+5",
        "0x5",
        "5.0",
        "1e1",
        "5, 6",
        "5 5",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999",
    ];
    let cases = values.iter().map(|value| {
        let start = format!("{}content-length: {value}\r\n\r\n{{body}}", ok());
        Case::new(format!("content-length: {value}"), start, RawEnd::Close)
    });
    let twice = format!("{}content-length: 1\r\n\r\n{{body}}", with_length());
    let both = format!(
        "{}transfer-encoding: chunked\r\n\r\n{{half}}",
        with_length()
    );
    let others = [
        Case::new("two lengths", twice, RawEnd::Close),
        Case::new("a length and no valid chunks", both, RawEnd::Close),
    ];
    cases.chain(others).collect()
}

/// Refusals with a back-off that their receiver can't use.
pub(super) fn odd_back_offs(values: &[&str]) -> Vec<Case> {
    let declined = azuresaddle_platform::headers::NOT_RUN;
    let head = format!("{}{declined}: 1\r\n", head("503 Service Unavailable"));
    let cases = values.iter().map(|value| {
        let start = format!("{head}content-length: 0\r\nretry-after: {value}\r\n\r\n");
        Case::new(
            format!("refusal with retry-after: {value}"),
            start,
            RawEnd::Next,
        )
    });
    cases.collect()
}
