# Reads on replicas while sessions move between instances and replicas lag, in both
# deployments. The baseline never waits for a replica: it reads only from replicas that
# are known to have caught up.
instances=6
addresses=""
for number in $(seq 1 "$instances"); do addresses+="${addresses:+,}127.0.0.1:$((base + 50 + number))"; done
totals=$run.totals
: >"$totals"
for deployment in karoo authority; do
  group=orders
  [ "$deployment" = authority ] && group=claims
  stop_fleet "$run"
  start_fleet "$run" "$deployment" "$instances" "$base" --lag_ms 20
  line=$("$bin/standin-load" --mode reads --group "$group" --callers "$addresses" --connections 48 --statements "${ROAMS:-160}" --max_staleness_ms 1000 | tail -1)
  say "$deployment: $line"
  sed -i 's/"rank":2}/"rank":2,"replica_wait_ms":0}/g' "$run/configuration.json"
  "$bin/anvilmountctl" apply "$run/configuration.json" --wait --server "127.0.0.1:$((base + 151))" >/dev/null
  simple=$("$bin/standin-load" --mode reads --group "$group" --callers "$addresses" --connections 48 --statements 40 --max_staleness_ms 1000 | tail -1)
  say "$deployment baseline: $simple"
  for name in session_reads aged_reads replica_session replica_aged ryw_violations age_violations roamed_sessions errors; do
    echo "$name $(echo "$line" | json_number $name)" >>"$totals"
  done
  for name in session_reads replica_session aged_reads replica_aged; do
    echo "baseline_$name $(echo "$simple" | json_number $name)" >>"$totals"
  done
done
awk '{ sum[$1] += $2 }
  END { printf "{\"replica_share\":%.3f,\"replica_share_session\":%.3f,\"replica_share_aged\":%.3f,\"baseline_replica_share\":%.3f,\"ryw_violations\":%d,\"age_violations\":%d,\"roamed_sessions\":%d,\"errors\":%d}\n",
    (sum["replica_session"] + sum["replica_aged"]) / (sum["session_reads"] + sum["aged_reads"]),
    sum["replica_session"] / sum["session_reads"], sum["replica_aged"] / sum["aged_reads"],
    (sum["baseline_replica_session"] + sum["baseline_replica_aged"]) / (sum["baseline_session_reads"] + sum["baseline_aged_reads"]),
    sum["ryw_violations"], sum["age_violations"], sum["roamed_sessions"], sum["errors"] }' "$totals"
rm -f "$totals"
