# Functions shared by ranks.sh and flood.sh.
service_us=10000
# rank_fleet DEPLOYMENT: starts a fleet; sets group, capacity (statements of 10 ms per
# second) and limit (connections).
rank_fleet() {
  local slots=3
  group=orders limit=20
  if [ "$1" = authority ]; then slots=5 group=claims limit=50; fi
  capacity=$((3 * slots * 1000000 / service_us))
  stop_fleet "$run"
  start_fleet "$run" "$1" 6 "$base" --service_us "$service_us"
  # The baseline needs a single rank, so no rules may assign ranks.
  sed -i 's/"rules":\[[^]]*\]/"rules":[]/g' "$run/configuration.json"
  "$bin/anvilmountctl" apply "$run/configuration.json" --server "127.0.0.1:$((base + 151))" >/dev/null
  sleep 2
  addresses=""
  local number
  for number in 1 2 3 4 5 6; do addresses+="${addresses:+,}127.0.0.1:$((base + 50 + number))"; done
}
# rank_load RATES RANKED [CONNECTIONS]: prints the JSON line of the load generator.
rank_load() {
  "$bin/standin-load" --mode ranks --group "$group" --callers "$addresses" --rates "$1" --ranked="$2" \
    --connections "${3:-60}" --duration_ms 4000 --deadline_ms 1000 | tail -1
}
# of LINE RANK NAME: prints a number of one rank from a JSON line.
of() { echo "$1" | tr '{' '\n' | grep "\"rank\":$2\b" | json_number "$3"; }
# join_ranks RANKED PLAIN: prints what each rank got next to the baseline, as JSON.
join_ranks() {
  local rank
  for rank in 1 2 3; do
    [ "$rank" = 1 ] || printf ','
    printf '{"rank":%d,"served_share":%.3f,"p50_ms":%.1f,"p99_ms":%.1f,"baseline_served_share":%.3f,"baseline_p99_ms":%.1f}' "$rank" \
      "$(of "$1" $rank served_share)" "$(of "$1" $rank p50_ms)" "$(of "$1" $rank p99_ms)" "$(of "$2" $rank served_share)" "$(of "$2" $rank p99_ms)"
  done
}
