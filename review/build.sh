#!/bin/sh
# Builds the stand-ins of the review's cases. No dependencies; output goes to target/review.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review exec cargo build --release --offline --manifest-path review/standin/Cargo.toml
