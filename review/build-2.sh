#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler of the project, without packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in cut_answer behind_stream growing_table; do
  rustc --edition 2021 -O -A dead_code -o "target/review-2/$case" "review/standin-2/$case.rs"
done
