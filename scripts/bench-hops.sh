#!/usr/bin/env bash
# Compares the CPU time per token of the router with that of a plain forwarder. The
# engine, the hops under test and the callers run in separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d "${TMPDIR:-/tmp}/chicory-hops.XXXXXX")
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap cleanup EXIT

# Waits until a file has a line and prints the first one.
first_line() {
  until [ -s "$1" ]; do sleep 0.05; done
  head -n 1 "$1"
}

go build -o "$dir/resume" ./bench/resume
"$dir/resume" -role engine >"$dir/engine" &
pids+=("$!")
engine=$(first_line "$dir/engine")
"$dir/resume" -role hops -engine "$engine" >"$dir/hops" &
pids+=("$!")
read -r forwarder router cpu <<<"$(first_line "$dir/hops")"
"$dir/resume" -role callers -forwarder "$forwarder" -router "$router" -cpu "$cpu"
