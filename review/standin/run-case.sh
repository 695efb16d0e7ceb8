#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case with the deployed gateway; see main.cpp. TROUBLE=0 leaves the
# disruption out. The record goes to FOLDER/record.txt. Exits as review-world does.
set -uo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root"
program=target/anvilmount-gateway
world=target/review/bin/review-world
record=$2/record.txt
[ -x "$program" ] && [ -x "$world" ] || {
  echo "build the deploy file and review/build-2.sh first" | tee "$record"
  exit 2
}
run=$(mktemp -d)

# The platform: starts gateway $1 when asked to, and again a moment after it has ended.
keep_gateway() {
  exec 2>/dev/null # no notices about processes that were killed
  while [ ! -e "$run/start-$1" ] && [ ! -e "$run/stop" ]; do sleep 0.05; done
  while [ ! -e "$run/stop" ]; do
    ANVILMOUNT_BOOT=$run/gateway-$1.flags "$program" >>"$run/gateway-$1.log" 2>&1 </dev/null &
    local process=$!
    echo "$process" >"$run/gateway-$1.pid"
    wait "$process"
    echo "gateway $1 ended with $?" >>"$run/gateway-$1.log"
    sleep 0.3
  done
}

finish() {
  touch "$run/stop"
  for file in "$run"/gateway-*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait
  [ -n "${KEEP:-}" ] && cp -r "$run" "$KEEP"
  rm -rf "$run"
}
trap finish EXIT

free_ports() {
  local port
  for port in $(seq "$1" $(($1 + 119))); do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && return 1
  done
  return 0
}
port=
for _ in $(seq 1 20); do
  port=$((20000 + RANDOM % 80 * 120))
  free_ports "$port" && break
done
for number in $(seq 0 7); do
  keep_gateway "$number" &
done
timeout -k 2 116 "$world" "$1" "$run" "$port" "${TROUBLE:-1}" >"$record" 2>&1
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
