//! Tests of the check of response heads.

use hyper::{Response, StatusCode};

use crate::http::response_head::{InvalidHead, check_head};

/// Result of the check of a head with a status and fields.
fn check(status: u16, fields: &[(&str, &str)]) -> Result<(), InvalidHead> {
    let mut builder = Response::builder().status(status);
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    check_head(&builder.body(()).unwrap())
}

const CODING: &str = "transfer-encoding";
const LENGTH: &str = "content-length";

/// Guards against a sound response that is lost since its head is unusual.
#[test]
fn valid_heads_are_accepted() {
    let valid: [(u16, &[(&str, &str)]); 12] = [
        (200, &[]),
        (200, &[(CODING, "chunked")]),
        (200, &[(CODING, "Chunked")]),
        (200, &[(LENGTH, "0")]),
        (200, &[(LENGTH, "18446744073709551615")]),
        (200, &[(LENGTH, "5"), (LENGTH, "5")]),
        (200, &[(LENGTH, "5, 5")]),
        (204, &[]),
        (204, &[(LENGTH, "0")]),
        (304, &[(LENGTH, "5")]),
        (503, &[(CODING, "chunked")]),
        (599, &[(LENGTH, "5")]),
    ];
    for (status, fields) in valid {
        assert_eq!(check(status, fields), Ok(()), "{status} {fields:?}");
    }
}

/// Guards against a body that is read to the end of the connection, or taken apart, under a coding that is not known.
#[test]
fn transfer_codings_other_than_chunked_are_rejected() {
    let values = [
        "",
        "chunkde",
        "gzip",
        "identity",
        "chunked, gzip",
        "gzip, chunked",
        "chunked, chunked",
        "chunked,",
        "chunked;q=1",
        "chunked\u{e9}",
    ];
    for value in values {
        for status in [200, 304, 500] {
            let checked = check(status, &[(CODING, value)]);
            assert_eq!(checked, Err(InvalidHead::TransferCoding), "{value}");
        }
    }
    for (first, second) in [("chunked", "chunked"), ("chunked", ""), ("gzip", "chunked")] {
        let checked = check(200, &[(CODING, first), (CODING, second)]);
        assert_eq!(checked, Err(InvalidHead::TransferCoding));
    }
}

/// Guards against a length that the library does not read, since the response has no body, but that is passed on.
#[test]
fn lengths_that_are_no_number_are_rejected() {
    let values = [
        "",
        "five",
        "+5",
        "-1",
        "0x5",
        "5 5",
        "5, 6",
        "5,",
        "18446744073709551616",
        "5\u{e9}",
    ];
    for value in values {
        for status in [200, 204, 304] {
            let checked = check(status, &[(LENGTH, value)]);
            assert_eq!(checked, Err(InvalidHead::Length), "{status} {value}");
        }
    }
    let checked = check(200, &[(LENGTH, "5"), (LENGTH, "6")]);
    assert_eq!(checked, Err(InvalidHead::Length));
}

/// Guards against a response that its next recipient splits at another place than this one.
#[test]
fn a_coding_beside_a_length_is_rejected() {
    for fields in [
        [(CODING, "chunked"), (LENGTH, "5")],
        [(LENGTH, "5"), (CODING, "chunked")],
    ] {
        assert_eq!(check(200, &fields), Err(InvalidHead::CodingAndLength));
    }
}

/// Guards against the loss of a body that a response with this status can't have.
#[test]
fn a_response_without_content_states_no_body() {
    let invalid = Err(InvalidHead::UnexpectedBody(StatusCode::NO_CONTENT));
    assert_eq!(check(204, &[(LENGTH, "5")]), invalid);
    assert_eq!(check(204, &[(CODING, "chunked")]), invalid);
}

/// Guards against a response that ends the protocol of its connection.
#[test]
fn an_upgrade_is_rejected() {
    assert_eq!(check(101, &[]), Err(InvalidHead::Upgrade));
    assert_eq!(check(101, &[("upgrade", "h2c")]), Err(InvalidHead::Upgrade));
}

/// Guards against a response that is neither a success nor a failure.
#[test]
fn a_status_without_class_is_rejected() {
    for status in [600, 999] {
        let invalid = InvalidHead::Status(StatusCode::from_u16(status).unwrap());
        assert_eq!(check(status, &[(LENGTH, "5")]), Err(invalid));
    }
}
