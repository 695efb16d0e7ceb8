# What the proxy adds to the cost of a statement: runs the same statements directly,
# through the instance that is the home of the upstream, and through an instance that
# forwards them to the home. Then measures idle callers.
start_fleet "$run" single 2 "$base"
home=$(home_of "$base" bench-1)
hop=$((3 - home))
port_of() { echo "127.0.0.1:$((base + 50 + $1))"; }
load() { # load ADDRESS CONNECTIONS STATEMENTS
  "$bin/standin-load" --mode latency --group bench --callers "$1" --connections "$2" --statements "$3"
}
direct=$(load "127.0.0.1:$((base + 1))" 1 5000)
local_one=$(load "$(port_of "$home")" 1 5000)
hop_one=$(load "$(port_of "$hop")" 1 5000)
say "one connection, direct: $direct"
say "one connection, local:  $local_one"
say "one connection, hop:    $hop_one"
cpu_ns() { cat /proc/"$(cat "$run/entry-1.pid")"/task/*/schedstat /proc/"$(cat "$run/entry-2.pid")"/task/*/schedstat | awk '{ s += $1 } END { printf "%.0f", s }'; }
# 16 connections, each with 3,000 statements and 50 for warm-up.
per_statement() { echo "$1 $2" | awk '{ printf "%.1f", ($2 - $1) / 1000 / (16 * 3050) }'; }
direct_many=$(load "127.0.0.1:$((base + 1))" 16 3000)
mark=$(cpu_ns)
local_many=$(load "$(port_of "$home")" 16 3000)
local_cpu=$(per_statement "$mark" "$(cpu_ns)")
mark=$(cpu_ns)
hop_many=$(load "$(port_of "$hop")" 16 3000)
hop_cpu=$(per_statement "$mark" "$(cpu_ns)")
say "processor time a statement, all instances: local $local_cpu us, hop $hop_cpu us"
say "sixteen connections: direct $direct_many"
say "sixteen connections: local  $local_many"
say "sixteen connections: hop    $hop_many"

operator=127.0.0.1:$((base + 150 + hop))
resident() { "$bin/anvilmountctl" status --json --server "$operator" | tr -d ' ' | json_number resident_bytes; }
before=$(resident)
"$bin/standin-load" --mode idle --group bench --callers "$(port_of "$hop")" --connections 5700 --hold_ms 6000 >"$run/idle.out" &
holder=$!
for _ in $(seq 1 600); do
  grep -q holding "$run/idle.out" 2>/dev/null && break
  sleep 0.1
done
after=$(resident)
wait "$holder"
say "idle callers: $(tail -1 "$run/idle.out"), resident before $before, after $after"
difference() { echo "$1 $2" | awk '{printf "%.1f", $1 - $2}'; }
echo "{\"direct_statements_per_s\":$(echo "$direct_many" | json_number statements_per_s),\"local_statements_per_s\":$(echo "$local_many" | json_number statements_per_s),\"hop_statements_per_s\":$(echo "$hop_many" | json_number statements_per_s),\"added_p50_us_local\":$(difference "$(echo "$local_one" | json_number p50_us)" "$(echo "$direct" | json_number p50_us)"),\"added_p50_us_hop\":$(difference "$(echo "$hop_one" | json_number p50_us)" "$(echo "$direct" | json_number p50_us)"),\"added_p99_us_local\":$(difference "$(echo "$local_one" | json_number p99_us)" "$(echo "$direct" | json_number p99_us)"),\"idle_caller_bytes\":$(((after - before) / 5700)),\"cpu_us_local\":$local_cpu,\"cpu_us_hop\":$hop_cpu}"
