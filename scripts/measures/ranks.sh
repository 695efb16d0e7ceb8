# Service of each rank at 0.5, 1, 2 and 5 times what the group can serve. By work,
# orders are 20%, lookups 50% and reports 30%; a report takes 30 ms, other statements
# 10 ms. The baseline puts all statements into one rank, first come, first served.
. "$root/scripts/measures/ranks_lib.sh"
loads=""
for deployment in karoo authority; do
  rank_fleet "$deployment"
  for factor in 0.5 1 2 5; do
    # Shares of the time at the upstreams. A report takes three times as long, hence the division by 3.
    rates=$(awk -v f="$factor" -v s="$capacity" 'BEGIN { printf "%d,%d,%d", f * s * 0.2, f * s * 0.5, f * s * 0.3 / 3 }')
    ranked=$(rank_load "$rates" true)
    plain=$(rank_load "$rates" false)
    say "$deployment $factor: $ranked"
    say "$deployment $factor baseline: $plain"
    loads+="${loads:+,}{\"deployment\":\"$deployment\",\"factor\":$factor,\"ranks\":[$(join_ranks "$ranked" "$plain")]}"
  done
done
echo "{\"loads\":[$loads]}"
