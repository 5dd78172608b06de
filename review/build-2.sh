#!/bin/sh
# Builds the stand-ins of the second review, with the toolchain's standard library only. The
# scripts of the cases start them beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/main.rs
