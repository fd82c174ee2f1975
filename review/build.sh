#!/usr/bin/env bash
# Builds the stand-ins and checks of the script cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/standins/main.rs
