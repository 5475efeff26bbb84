#!/bin/bash
# Builds the stand-ins of the second review's cases into target/review-2. Needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/cases-2.rs
