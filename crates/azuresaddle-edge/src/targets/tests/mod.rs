//! Tests of what a node has seen of its targets.

mod health;
