#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and review/7 start. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/standin-2/main.rs
