#!/usr/bin/env bash
# Builds the programs and runs a small mesh on loopback: three control replicas, and six nodes with
# stand-in targets in two chained services. Sends a few requests and prints each outcome.
#
# Usage: scripts/local-mesh.sh [--keep]
#   --keep  leave the mesh running and print its addresses
# MESH_PORT sets the first of the fixed ports (21100, below the range of ephemeral ports).
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case "${1:-}" in
  --keep) keep=yes ;;
  "") ;;
  *) echo "usage: $0 [--keep]" >&2; exit 2 ;;
esac

cargo build --locked --quiet --bins
bin=${CARGO_TARGET_DIR:-target}/debug
base=${MESH_PORT:-21100}
token=local-mesh-token-0123456789
credential=demo-reseller-credential
folder=$(mktemp -d)
pids=()

stop_mesh() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
if [ "$keep" = no ]; then trap stop_mesh EXIT; fi

fail() {
  echo "local-mesh: $1" >&2
  tail -n 5 "$folder"/*.log >&2 || true
  [ "$keep" = no ] || stop_mesh
  exit 1
}

start() { # name program arguments...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}

wait_until() { # description command...
  local what=$1
  shift
  for _ in $(seq 60); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "timed out waiting for $what"
}

controls="\"127.0.0.1:$((base + 1))\", \"127.0.0.1:$((base + 2))\", \"127.0.0.1:$((base + 3))\""
for id in 1 2 3; do
  {
    echo "replica_id = $id"
    echo "control_address = \"127.0.0.1:$((base + id))\""
    echo "data_folder = \"$folder/control-$id\""
    echo "mesh_token = \"$token\""
    echo "bootstrap = true"
    for peer in 1 2 3; do
      if [ "$peer" != "$id" ]; then
        printf '[[peer]]\nreplica_id = %s\naddress = "127.0.0.1:%s"\n' "$peer" "$((base + peer))"
      fi
    done
  } >"$folder/control-$id.toml"
  start "control-$id" "$bin/ebonyjunction-control" --settings "$folder/control-$id.toml"
done

cat >"$folder/operator.toml" <<TOML
control = [$controls]
mesh_token = "$token"
change_folder = "$folder/changes"
TOML
operator() { "$bin/ebonyjunction" "$@" --settings "$folder/operator.toml"; }
apply() { operator plans apply --plans lists/plans.toml --grants lists/grants.toml; }
wait_until "a control leader" operator status
wait_until "the first edit" apply

start_endpoint() { # index service stand-in-flags...
  local index=$1 service=$2 port=$((base + 10 * $1))
  shift 2
  cat >"$folder/node-$index.toml" <<TOML
entry_address = "127.0.0.1:$port"
mesh_address = "127.0.0.1:$((port + 1))"
local_address = "127.0.0.1:$((port + 2))"
zone = "zone-$((index % 2 + 1))"
region = "region-1"
mesh_token = "$token"
control = [$controls]
TOML
  start "node-$index" "$bin/ebonyjunction-node" --settings "$folder/node-$index.toml"
  start "target-$index" "$bin/ebonyjunction-stand-in" --service "$service" \
    --node "127.0.0.1:$((port + 2))" --slots 10 --service-ms 5 "$@"
}
for index in 1 2 3; do start_endpoint "$index" orders --call /stockroom/items; done
for index in 4 5 6; do start_endpoint "$index" stockroom; done

entry=127.0.0.1:$((base + 10))
send() { "$bin/ebonyjunction-call" --entry "$entry" "$@"; }
outcome() { sed -n '1s/ request_id=.*//p'; }
answers_200() { send --credential "$credential" /orders/stock | grep -q '^status=200'; }
six_ready() { [ "$(operator status | grep -c ready)" -ge 6 ]; }
wait_until "six targets" six_ready
wait_until "the first answer" answers_200

expect() { # name wanted arguments...
  local name=$1 wanted=$2 got
  shift 2
  got=$(send "$@" | outcome)
  printf '%-30s %s\n' "$name" "$got"
  [[ "$got" == *"$wanted"* ]] || fail "$name: expected $wanted"
}

for number in 1 2 3; do
  expect "read $number" "status=200 outcome=ran" --credential "$credential" "/orders/stock/$number"
done
first=$(send --credential "$credential" --method POST --new-key /orders/confirm)
key=$(sed -n '1s/.* key=\([^ ]*\).*/\1/p' <<<"$first")
printf '%-30s %s\n' "payment" "$(outcome <<<"$first")"
[[ "$first" == "status=200 outcome=ran"* ]] || fail "the payment failed"
# The node that ran the payment answers 200 with the stored answer; any other node answers 409 already-ran.
expect "same payment again" "outcome=ran" --credential "$credential" --method POST --key "$key" /orders/confirm
expect "unapproved caller" "status=401 outcome=not-run" --credential nobody /orders/stock

runs=0
for index in 1 2 3; do
  target=$(sed -n 's/.*event=listening.* address=\([0-9.:]*\).*/\1/p' "$folder/target-$index.log" | head -1)
  count=$("$bin/ebonyjunction-call" --entry "$target" /stand-in/counts | grep -o "\"$key\":[0-9]*" | cut -d: -f2 || true)
  runs=$((runs + ${count:-0}))
done
printf '%-30s %s\n' "executions of the payment" "$runs"
[ "$runs" = 1 ] || fail "the payment ran $runs times"

if [ "$keep" = yes ]; then
  echo "entries    127.0.0.1:$((base + 10)) to 127.0.0.1:$((base + 60)), step 10"
  echo "credential $credential"
  echo "operator   $bin/ebonyjunction status --settings $folder/operator.toml"
  echo "logs       $folder/*.log"
  echo "stop       kill ${pids[*]}; rm -r $folder"
fi
