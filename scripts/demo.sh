#!/usr/bin/env bash
# End-to-end demo on this machine with the built binaries and simulated targets: a long
# generation completes after its engine is killed, a booking that is sent twice with the
# same key is executed once, a move is planned and confirmed, and every process stops
# cleanly. Exits with 0 only if all of this succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
data=$(mktemp -d "${TMPDIR:-/tmp}/chicory-demo.XXXXXX")
tokens=300
declare -A pids=()

say() { printf '\n== %s\n' "$*"; }
fail() { printf 'demo: FAILED: %s\n' "$*" >&2; exit 1; }

# The example uses a range of 100 ports; picks one in which its ports are free.
port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
pick_base() {
  local base offset
  for base in $(seq $((20000 + RANDOM % 100 * 100)) 100 32000); do
    local free=yes
    for offset in 0 1 2 10 11 12 20 21 22 30 31 32 40 41 42 50 51 52 60 61 62 70 71 72 80 81 82 90 91 92; do
      port_is_free $((base + offset)) || { free=no; break; }
    done
    [ "$free" = yes ] && { echo "$base"; return; }
  done
  fail "no free range of ports"
}

start() { # name, command...
  local name=$1; shift
  "$@" >"$data/$name.log" 2>&1 &
  pids[$name]=$!
}

# Kills the remaining processes and prints the logs of a failed run.
cleanup() {
  local status=$?
  trap - EXIT
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    for log in "$data"/*.log; do echo "--- $log"; tail -n 8 "$log"; done >&2
  fi
  rm -rf "$data"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

base=$(pick_base)
at() { echo "127.0.0.1:$((base + $1))"; }
ctl() { local command=$1; shift; "$bin/chicoryctl" "$command" "$@"; }

say "settings, keys and a first configuration for 3 control VMs and 3 routers"
ctl example -folder "$data" -base-port "$base" >/dev/null
for vm in c1 c2 c3; do "$bin/chicory-control" check-settings -settings "$data/$vm.yaml"; done
for vm in r1 r2 r3; do "$bin/chicory-router" check-settings -settings "$data/$vm.yaml"; done

say "stand-in engines and services, control VMs, routers"
for i in 0 1 2; do
  start "engine-v1-$i" "$bin/chicory-standin" serve -address "$(at $((60 + i)))" -version v1 -token-gap 10ms
  start "engine-v2-$i" "$bin/chicory-standin" serve -address "$(at $((70 + i)))" -version v2 -token-gap 10ms
  start "service-v1-$i" "$bin/chicory-standin" serve -address "$(at $((80 + i)))" -version v1
  start "service-v2-$i" "$bin/chicory-standin" serve -address "$(at $((90 + i)))" -version v2
done
for vm in c1 c2 c3; do start "$vm" "$bin/chicory-control" -settings "$data/$vm.yaml"; done
for vm in r1 r2 r3; do start "$vm" "$bin/chicory-router" -settings "$data/$vm.yaml"; done
ctl ready -wait 60s "$(at 20)" "$(at 21)" "$(at 22)" "$(at 50)" "$(at 51)" "$(at 52)"

say "plan and confirm the first configuration"
ctl plan -config "$data/ctl.yaml" -f "$data/changes.yaml" -plan "$data/plan.json"
ctl confirm -config "$data/ctl.yaml" -plan "$data/plan.json" -why "first configuration" -wait 20s | tee "$data/confirm.txt"
grep -q "in force on every live router" "$data/confirm.txt" || fail "the configuration is not in force everywhere"
ctl confirm -config "$data/ctl.yaml" -plan "$data/plan.json" -why "sent again" | grep "first result" || fail "a resent confirm did not get its first result"

say "a generation of $tokens tokens; its engine is killed on the way"
"$bin/chicory-caller" generate -address "$(at 30)" -team desk -route summaries \
  -prompt "Summarise the trips of today." -max-tokens "$tokens" >"$data/answer.txt" 2>"$data/caller.log" &
caller=$!
victim=""
for _ in $(seq 1 200); do
  [ "$(wc -w <"$data/answer.txt")" -ge 100 ] || { sleep 0.02; continue; }
  for i in 0 1 2; do
    "$bin/chicory-standin" arrivals -address "$(at $((60 + i)))" | grep -q "running=1" && victim="engine-v1-$i"
  done
  break
done
[ -n "$victim" ] || fail "no engine carries the generation"
kill -KILL "${pids[$victim]}"
wait "${pids[$victim]}" 2>/dev/null || true
unset "pids[$victim]"
echo "killed $victim after $(wc -w <"$data/answer.txt") tokens"
wait "$caller" || fail "the caller got no whole answer"
"$bin/chicory-standin" check-text -tokens "$tokens" <"$data/answer.txt" || fail "the answer is not whole"

say "a booking made twice under one key, at two routers"
key=$("$bin/chicory-caller" key)
for port in 30 31; do
  "$bin/chicory-caller" call -address "$(at "$port")" -team desk -route booking -method book -payload "pedicab to the rambla" -key "$key"
done
arrived=0
for i in 0 1 2; do
  n=$("$bin/chicory-standin" arrivals -address "$(at $((80 + i)))" -key "$key" | sed -n 's/.*with_key=\([0-9]*\).*/\1/p')
  arrived=$((arrived + n))
done
echo "arrivals at the service: $arrived"
[ "$arrived" -eq 1 ] || fail "the booking arrived $arrived times"

say "plan and confirm a move"
ctl move start -config "$data/ctl.yaml" -route lookup -from v1 -to v2 -deadline 30m -rate 100 -plan "$data/move.json"
ctl confirm -config "$data/ctl.yaml" -plan "$data/move.json" -why "new dispatch desk" -wait 20s
ctl moves -config "$data/ctl.yaml" | tee "$data/moves.txt"
grep -q "lookup  v1 -> v2" "$data/moves.txt" || fail "the move is not open"
ctl status -config "$data/ctl.yaml"

say "stop"
for vm in r1 r2 r3 c1 c2 c3; do
  kill -TERM "${pids[$vm]}"
done
for vm in r1 r2 r3 c1 c2 c3; do
  wait "${pids[$vm]}" || fail "$vm stopped with status $?"
  unset "pids[$vm]"
done
for name in "${!pids[@]}"; do
  kill -TERM "${pids[$name]}"
  wait "${pids[$name]}" || fail "$name stopped with status $?"
  unset "pids[$name]"
done
echo "demo: everything held"
