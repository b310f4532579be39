//! Tests of the quarantine that traffic and control share.

mod restarted_target;
