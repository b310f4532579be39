#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts, after the build of the deploy file. Needs no network: they
# use the standard library only.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
