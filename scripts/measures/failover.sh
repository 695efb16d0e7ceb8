# Outage of acknowledged writes when the primary of a group fails, and what the
# faults do to single writes. Each run starts a new fleet with six writers, half of
# them with request ids. The baseline acknowledges a write as soon as the primary has it.
runs=${RUNS:-5}
six=""
for number in 1 2 3 4 5 6; do six+="${six:+,}127.0.0.1:$((base + 50 + number))"; done
upstream_sql() { sql "$((base + $1))" orders "$2"; }
inject() {
  case $1 in
    primary-killed) kill -KILL "$(cat "$run/orders-1.pid")" ;;
    primary-cut-off) upstream_sql 1 "SELECT standin_control('cut', 'on')" >/dev/null ;;
    primary-cut-off-store-down)
      "$bin/standin-ctl" --server "127.0.0.1:$base" fault '{"down":true}' >/dev/null
      upstream_sql 1 "SELECT standin_control('cut', 'on')" >/dev/null ;;
    steward-and-primary-killed)
      kill -KILL "$(cat "$run/entry-$steward.pid")" "$(cat "$run/orders-1.pid")" ;;
    planned-switch) "$bin/anvilmountctl" switch orders orders-2 --server "127.0.0.1:$((base + 153))" >/dev/null ;;
  esac
}
# one_run CASE: runs one failover and prints the JSON line of the load generator.
one_run() {
  stop_fleet "$run"
  start_fleet "$run" karoo 6 "$base"
  if [ "${acknowledge:-majority}" = primary ]; then
    sed -i 's/"rules"/"acknowledge":"primary","rules"/g' "$run/configuration.json"
    "$bin/anvilmountctl" apply "$run/configuration.json" --server "127.0.0.1:$((base + 151))" >/dev/null
    sleep 2
  fi
  sleep 1
  steward=$(steward_of "$base" orders)
  "$bin/standin-load" --mode gap --group orders --callers "$six" --connections 6 --duration_ms 5000 --request_ids >"$run/gap.out" &
  local load=$!
  sleep 1.5
  inject "$1"
  wait "$load"
  tail -1 "$run/gap.out"
}
# summary CASE: repeats a case and prints its results as one JSON object.
summary() {
  local name=$1 gaps="" lost=0 ran=0 doubled=0 line number
  for number in $(seq 1 "$runs"); do
    line=$(one_run "$name")
    say "$name $number: $line" >&2
    gaps+="$(echo "$line" | json_number gap_ms) "
    lost=$((lost + $(echo "$line" | json_number acked_lost)))
    ran=$((ran + $(echo "$line" | json_number not_run_but_ran)))
    doubled=$((doubled + $(echo "$line" | json_number doubled)))
  done
  echo "$gaps" | tr ' ' '\n' | grep . | sort -n | awk -v name="$name" -v lost="$lost" -v ran="$ran" -v doubled="$doubled" '
    { gap[NR] = $1 }
    END { printf "{\"case\":\"%s\",\"runs\":%d,\"gap_ms_median\":%.0f,\"gap_ms_max\":%.0f,\"acked_lost\":%d,\"acked_by_replaced\":%d,\"doubled\":%d,\"not_run_but_ran\":%d}", name, NR, gap[int((NR + 1) / 2)], gap[NR], lost, lost, doubled, ran }'
}
cases=""
for name in primary-killed primary-cut-off primary-cut-off-store-down steward-and-primary-killed planned-switch; do
  cases+="${cases:+,}$(summary "$name")"
done
acknowledge=primary
baseline=$(summary primary-cut-off)
echo "{\"cases\":[$cases],\"baseline\":$baseline}"
