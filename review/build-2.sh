#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for driver in review/*/driver.rs; do
  number=$(basename "$(dirname "$driver")")
  rustc --edition 2024 -O -o "target/review-2/case-$number" "$driver"
done
