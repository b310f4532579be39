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
    /// Size of the request's body, if it is an upload.
    pub(super) upload_bytes: Option<usize>,
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
            upload_bytes: None,
        }
    }

    fn whole(self) -> Self {
        Self {
            expected: Expected::Whole,
            ..self
        }
    }
}

/// An upload that the buffers of a connection take.
const SHORT_UPLOAD_BYTES: usize = 200_000;

/// An upload that is still being written while its target reads nothing.
const LONG_UPLOAD_BYTES: usize = 8 << 20;

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
        "5\t5",
        "five",
        "\u{a0}5",
        "5\u{0}",
        "\r\n 5",
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

/// Answers whose heads leave open where the body ends.
pub(super) fn ambiguous_lengths() -> Vec<Case> {
    [
        odd_transfer_codings(),
        chunks_with_lengths(),
        bodies_of_empty_statuses(),
    ]
    .concat()
}

/// Answers with transfer codings that aren't `chunked` alone.
fn odd_transfer_codings() -> Vec<Case> {
    let values = [
        "",
        "chunkde",
        "chunkd",
        "xchunked",
        "gzip",
        "identity",
        "chunked, gzip",
        "gzip, chunked",
        "xx, chunked",
        "chunked, chunked",
        "chunked;q=1",
        "chunked,",
        ", chunked",
        "\"chunked\"",
        "chunked chunked",
        "chunked\r\ntransfer-encoding: gzip",
        "chunked\r\ntransfer-encoding: xx",
        "gzip\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding:",
    ];
    let bodies = [
        ("body", "\r\n{body}"),
        ("chunks", "\r\n{chunk}0\r\n\r\n"),
        (
            "body beside a length",
            "content-length: {length}\r\n\r\n{body}",
        ),
    ];
    let cases = values.iter().flat_map(|value| {
        bodies.map(|(name, body)| {
            let start = format!("{}transfer-encoding: {value}\r\n{body}", ok());
            Case::new(
                format!("transfer-encoding: {value}, {name}"),
                start,
                RawEnd::Close,
            )
        })
    });
    cases.collect()
}

/// Answers in chunks that state a length as well, the right one or another.
fn chunks_with_lengths() -> Vec<Case> {
    let chunks = "\r\n{chunk}0\r\n\r\n";
    let cases = ["{length}", "3", "999"].iter().flat_map(|length| {
        let (length, coding) = (
            format!("content-length: {length}\r\n"),
            "transfer-encoding: chunked\r\n",
        );
        [
            format!("{}{length}{coding}{chunks}", ok()),
            format!("{}{coding}{length}{chunks}", ok()),
        ]
        .map(|start| Case::new(format!("chunks with {length:?}"), start, RawEnd::Close))
    });
    cases.collect()
}

/// Answers with a status that has no body, and a head that states one or an odd length.
fn bodies_of_empty_statuses() -> Vec<Case> {
    let heads = [
        ("204 No Content", "content-length: {length}\r\n\r\n{body}"),
        (
            "204 No Content",
            "content-length: 0\r\ncontent-length: {length}\r\n\r\n{body}",
        ),
        (
            "204 No Content",
            "transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n",
        ),
        ("204 No Content", "content-length: five\r\n\r\n"),
        ("304 Not Modified", "content-length: five\r\n\r\n"),
        ("304 Not Modified", "content-length: 5, 6\r\n\r\n"),
        ("304 Not Modified", "transfer-encoding: gzip\r\n\r\n"),
    ];
    let cases = heads.iter().map(|(status, fields)| {
        let start = format!("{}{fields}", head(status));
        Case::new(format!("{status} with {fields:?}"), start, RawEnd::Close)
    });
    cases.collect()
}

/// Answers that switch to another protocol, which no request asks for.
pub(super) fn unasked_upgrades() -> Vec<Case> {
    let head = head("101 Switching Protocols");
    let fields = [
        "\r\n",
        "connection: upgrade\r\nupgrade: h2c\r\n\r\n",
        "connection: upgrade\r\nupgrade: websocket\r\n\r\n{body}",
        "content-length: {length}\r\n\r\n{body}",
    ];
    let cases = fields.iter().flat_map(|fields| {
        [RawEnd::Close, RawEnd::Silence].map(|end| {
            let start = format!("{head}{fields}");
            Case::new(format!("101 with {fields:?}, {end:?}"), start, end)
        })
    });
    cases.collect()
}

/// Answers with a status line that isn't one.
pub(super) fn odd_status_lines() -> Vec<Case> {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1  OK",
        "HTTP/1.1 200 O\u{0}K",
        "HTTP/9.9 200 OK",
        "HTTP/2.0 200 OK",
        "http/1.1 200 OK",
        "HTTP 200 OK",
    ];
    with_status_lines(&lines)
}

/// Answers with a status of no class (RFC 9110, section 15).
pub(super) fn statuses_without_class() -> Vec<Case> {
    with_status_lines(&["HTTP/1.1 600 OK", "HTTP/1.1 999 OK"])
}

/// Complete answers with the given status lines.
fn with_status_lines(lines: &[&str]) -> Vec<Case> {
    let ok = ok();
    let (_, fields) = ok.split_once("\r\n").expect("ends with a line break");
    let cases = lines.iter().map(|line| {
        let start = format!("{line}\r\n{fields}content-length: {{length}}\r\n\r\n{{body}}");
        Case::new(format!("status line {line:?}"), start, RawEnd::Close)
    });
    cases.collect()
}

/// Answers whose heads have a line that is no field, as their first or last one.
pub(super) fn odd_fields() -> Vec<Case> {
    let lines = [
        "no field",
        ": value",
        " folded: value",
        "\tfolded: value",
        "na me: value",
        "na\tme: value",
        "na\u{0}me: value",
        "na\u{1}me: value",
        "na\u{1f}me: value",
        "na\u{7f}me: value",
        "na\u{e9}me: value",
        "na\"me: value",
        "na(me): value",
        "name : value",
        "name\t: value",
        "name: va\u{0}lue",
        "name: va\rlue",
        "content-length {length}",
        "content-length : {length}",
        "content length: {length}",
        "content\u{1}length: {length}",
        "content-length\u{0}: {length}",
        "transfer-encoding : chunked",
        "transfer encoding: chunked",
    ];
    let length = "content-length: {length}";
    let ok = ok();
    let (status, fields) = ok.split_once("\r\n").expect("ends with a line break");
    let cases = lines.iter().flat_map(|line| {
        let starts = [
            (
                "first",
                format!("{status}\r\n{line}\r\n{fields}{length}\r\n\r\n{{body}}"),
            ),
            (
                "last",
                format!("{status}\r\n{fields}{length}\r\n{line}\r\n\r\n{{body}}"),
            ),
            (
                "only",
                format!("{status}\r\n{fields}{line}\r\n\r\n{{body}}"),
            ),
        ];
        starts
            .map(|(place, start)| Case::new(format!("line {line:?} {place}"), start, RawEnd::Close))
    });
    cases.collect()
}

/// Answers without a length to uploads that are not read, and then a reset.
pub(super) fn early_resets() -> Vec<Case> {
    let closing = format!("{}connection: close\r\n\r\n", ok());
    let unframed = format!("{}\r\n", ok());
    let starts = [
        ("first bytes", format!("{unframed}{{few}}")),
        ("first bytes, closing", format!("{closing}{{few}}")),
        ("half", format!("{closing}{{half}}")),
        ("all", format!("{closing}{{body}}")),
    ];
    let mut cases = Vec::new();
    for bytes in [SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES] {
        for delay in [0, 5, 100, 400].map(Duration::from_millis) {
            for (name, start) in &starts {
                let name = format!("reset of an upload of {bytes} bytes after {delay:?}: {name}");
                cases.push(Case {
                    upload_bytes: Some(bytes),
                    ..Case::new(name, start, RawEnd::EarlyReset(delay))
                });
            }
        }
    }
    cases
}
