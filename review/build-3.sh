#!/bin/sh
# Builds the stand-ins of the third review, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case review/standin-3/main.rs
