//! Tests of the health of targets.

mod back_offs;
mod health;
mod send_observations;
