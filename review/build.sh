#!/usr/bin/env bash
# Builds the stand-ins of the cases. The broker itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O standin.rs -o bin/standin
