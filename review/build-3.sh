#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The product is built as the
# deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/bed review/standin-3/main.rs
