#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10. Needs only rustc and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.rs; do
  name="$(basename "$source" .rs)"
  if [ "$name" != mesh ]; then
    rustc -O --edition 2024 -o "target/review-2/${name//_/-}" "$source"
  fi
done
