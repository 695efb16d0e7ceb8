# Overload by one rank: reports at 10 times what the group can serve, then orders at 5
# times what its primary can serve, while the other ranks keep a low rate. Connections
# are counted by the upstreams.
. "$root/scripts/measures/ranks_lib.sh"
rank_fleet karoo
quiet_rates="$((capacity / 10)),$((capacity / 5)),$((capacity / 30))"
quiet=$(rank_load "$quiet_rates" true)
say "quiet: $quiet"
floods=""
for rank in 3 1; do
  if [ "$rank" = 3 ]; then
    rates="$((capacity / 10)),$((capacity / 5)),$((capacity * 10 / 3))"
  else
    rates="$((capacity * 5 / 3)),$((capacity / 5)),$((capacity / 30))"
  fi
  flood=$(rank_load "$rates" true 120)
  plain=$(rank_load "$rates" false 120)
  say "flood of rank $rank: $flood"
  say "flood of rank $rank, baseline: $plain"
  rows=""
  for each in 1 2 3; do
    rows+="${rows:+,}$(printf '{"rank":%d,"quiet_p99_ms":%.1f,"flood_p99_ms":%.1f,"served_share":%.4f,"served":%d,"kept_share":%.3f,"baseline_served_share":%.4f,"baseline_p99_ms":%.1f}' "$each" \
      "$(of "$quiet" $each p99_ms)" "$(of "$flood" $each p99_ms)" "$(of "$flood" $each served_share)" "$(of "$flood" $each served)" \
      "$(echo "$(of "$flood" $each served) $(of "$quiet" $each served)" | awk '{ printf "%.4f", $1 / ($2 > 0 ? $2 : 1) }')" \
      "$(of "$plain" $each served_share)" "$(of "$plain" $each p99_ms)")"
  done
  floods+="${floods:+,}{\"rank\":$rank,\"ranks\":[$rows],\"not_run_but_ran\":$(echo "$flood" | json_number not_run_but_ran),\"primary_slots_per_s\":$((capacity / 3))}"
done
most=0
for number in 1 2 3; do
  seen=$(sql "$((base + number))" "$group" "SELECT * FROM group_state()" | cut -d'|' -f10)
  [ "$seen" -gt "$most" ] && most=$seen
done
# Replicas follow the primary over connections of their own, and the query above uses one.
echo "{\"floods\":[$floods],\"max_connections_seen\":$most,\"connection_limit\":$((limit + 3))}"
