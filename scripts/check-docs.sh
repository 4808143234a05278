#!/usr/bin/env bash
# Runs the curl examples of README.md and docs/callers.md unchanged, against one control
# VM, one router and simulated targets on this machine. Each block that is marked
# "```sh curl expect=TEXT" must exit with 0 and print TEXT. The blocks share one shell.
set -euo pipefail
cd "$(dirname "$0")/.."

pages="README.md docs/callers.md"
if ! command -v curl >/dev/null; then
  echo "check-docs: SKIPPED: curl is not installed; the examples of $pages were not run"
  exit 0
fi

bin=$PWD/bin
data=$(mktemp -d "${TMPDIR:-/tmp}/chicory-docs.XXXXXX")
pids=()

fail() { printf 'check-docs: FAILED: %s\n' "$*" >&2; exit 1; }

# Kills the remaining processes and prints the logs of a failed run.
cleanup() {
  local status=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    for log in "$data"/*.log; do echo "--- $log"; tail -n 8 "$log"; done >&2
  fi
  rm -rf "$data"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# The reduced example uses the first port of each range of ten; picks a base port for
# which these ports are free.
port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
pick_base() {
  local base offset
  for base in $(seq $((20000 + RANDOM % 100 * 100)) 100 32000); do
    local free=yes
    for offset in 0 10 20 30 40 50 60 80; do
      port_is_free $((base + offset)) || { free=no; break; }
    done
    [ "$free" = yes ] && { echo "$base"; return; }
  done
  fail "no free range of ports"
}

start() { # name, command...
  local name=$1; shift
  "$@" >"$data/$name.log" 2>&1 &
  pids=("$!" "${pids[@]}") # processes stop in reverse order of their start
}

base=$(pick_base)
at() { echo "127.0.0.1:$((base + $1))"; }

# Reduces the example to c1, r1, one engine and one replica of the transactional service.
make_settings() {
  "$bin/chicoryctl" example -folder "$data" -base-port "$base" >/dev/null
  sed -i '/id: c[23],/d' "$data/c1.yaml" "$data/r1.yaml"
  sed -i "s/^control: .*/control: $(at 10)/" "$data/ctl.yaml"
  sed -i "/put_target/{/$(at 60)\"/!{/$(at 80)\"/!d}}" "$data/changes.yaml"
}

start_example() {
  start engine "$bin/chicory-standin" serve -address "$(at 60)" -version v1
  start service "$bin/chicory-standin" serve -address "$(at 80)" -version v1
  start c1 "$bin/chicory-control" -settings "$data/c1.yaml"
  start r1 "$bin/chicory-router" -settings "$data/r1.yaml"
  "$bin/chicoryctl" ready -wait 30s "$(at 20)" "$(at 50)" >/dev/null
  "$bin/chicoryctl" plan -config "$data/ctl.yaml" -f "$data/changes.yaml" -plan "$data/plan.json" >/dev/null
  "$bin/chicoryctl" confirm -config "$data/ctl.yaml" -plan "$data/plan.json" -why "docs" -wait 20s >/dev/null
}

# Writes each marked block to block-N.sh and its expected output to block-N.expect.
extract_blocks() {
  awk -v folder="$data" '
    /^```sh curl expect=/ { n++; inside = 1; sub(/^```sh curl expect=/, ""); print > (folder "/block-" n ".expect"); next }
    /^```/ { inside = 0 }
    inside { print > (folder "/block-" n ".sh") }
  ' $pages
}

run_blocks() {
  local n status wanted
  for ((n = 1; ; n++)); do
    [ -f "$data/block-$n.sh" ] || break
    wanted=$(cat "$data/block-$n.expect")
    status=0
    source "$data/block-$n.sh" >"$data/block-$n.out" || status=$?
    [ "$status" -eq 0 ] || { cat "$data/block-$n.sh" "$data/block-$n.out"; fail "block $n of $pages exits with $status"; }
    # Spaces are ignored, because JSON output may have them after commas and colons.
    tr -d ' ' <"$data/block-$n.out" | grep -qaF -- "$wanted" ||
      { cat "$data/block-$n.sh" "$data/block-$n.out"; fail "block $n of $pages does not print $wanted"; }
    echo "block $n of $pages prints $wanted"
  done
  [ "$n" -gt 1 ] || fail "$pages has no curl example"
  [ "$((n - 1))" -eq "$blocks" ] || fail "a block of $pages has no expect="
}

# Stops the processes in order and fails if one of them does not exit with 0.
stop_example() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid"
    wait "$pid" || fail "a process stopped with status $?"
  done
  pids=()
}

make_settings
extract_blocks
start_example
blocks=$(cat $pages | grep -c '^```sh curl')
ROUTER=$(at 30) # read by the blocks
cd "$data"
set +eu +o pipefail
run_blocks
set -euo pipefail
stop_example
echo "check-docs: every example of $pages did what the page says"
