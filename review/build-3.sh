#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3, with rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stage review/standin-3/main.rs
