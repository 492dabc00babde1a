#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone and without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review review/standin/main.rs
