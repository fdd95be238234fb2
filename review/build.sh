#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: clients, model servers, the operator and the
# links between machines. One program, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
