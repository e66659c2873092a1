#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Needs the Rust toolchain only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standin/main.rs
