//! Tests of streams without a request path.

mod sends;
