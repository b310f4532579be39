#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts in review/4, review/5 and review/6 start. They use only the
# standard library. Run it after the build of deploy/system.toml, which builds the node itself.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
