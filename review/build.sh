#!/bin/sh
# Builds the harness of the scripts, with its stand-ins, proxy and clients. It needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
