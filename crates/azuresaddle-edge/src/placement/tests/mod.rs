//! Tests of placement at the owner.

mod handover;
mod rounds;
