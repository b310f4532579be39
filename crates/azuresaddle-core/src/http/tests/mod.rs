//! Tests of the HTTP client.

mod response_head;
