#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in release/ebonyjunction-core release/ebonyjunction-sidecar review-2/gone-clients; do
  [ -x "target/$program" ] || exit 2
done
exec "target/review-2/gone-clients" review/9
