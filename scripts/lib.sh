# Functions shared by the scripts: installation of packages, the build, and a fleet
# of stand-ins and instances on loopback. Source this file, do not run it.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$root/build/release
bin=$build/bin
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  qt6-base-dev libnghttp2-dev libboost1.81-dev libboost-test1.81-dev libgflags-dev liblog4cxx-dev
  libpq-dev libprotobuf-dev libssl-dev nlohmann-json3-dev librapidcheck-dev postgresql-client)

install_packages() {
  local missing=()
  for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  if [ ${#missing[@]} -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update >/dev/null
    DEBIAN_FRONTEND=noninteractive apt-get install -y "${missing[@]}" >/dev/null
  fi
}

build_all() {
  (cd "$root" && cmake --preset release >/dev/null && cmake --build "$build" -- "$@") >"$root/build/build.log" 2>&1 || {
    tail -40 "$root/build/build.log"
    return 1
  }
}

# Waits until something listens on 127.0.0.1:$1, at most 10 s.
wait_for_port() {
  for _ in $(seq 1 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "nothing listens on port $1" >&2
  return 1
}

# start_process RUN_DIR NAME COMMAND...: logs to RUN_DIR/NAME.log and writes the
# process id to RUN_DIR/NAME.pid.
start_process() {
  local run=$1 name=$2
  shift 2
  "$@" >"$run/$name.log" 2>&1 </dev/null &
  echo "$!" >"$run/$name.pid"
  disown
}

# stop_fleet RUN_DIR: kills the processes that were started with RUN_DIR, and no others.
stop_fleet() {
  local run=$1 pid file
  for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    # The process id may have been reused by an unrelated process.
    if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$bin/"; then
      kill -CONT "$pid" || true
      kill -KILL "$pid" || true
    fi
    rm -f "$file"
  done
}

sql() { # sql PORT DATABASE STATEMENT
  psql -X -q -A -t "host=127.0.0.1 port=$1 dbname=$2 user=operator" -c "$3"
}

# start_fleet RUN_DIR DEPLOYMENT INSTANCES BASE_PORT [standin-upstream settings...]
# DEPLOYMENT: karoo, authority, single (one group of one upstream) or many-N (N groups).
# Ports: BASE platform, BASE+1.. upstreams, BASE+50.. callers, +100.. peers, +150.. operators.
start_fleet() {
  local run=$1 deployment=$2 instances=$3 base=$4
  shift 4
  local groups centres slots connections
  local members=3
  case $deployment in
    authority) groups=(claims payments approvals) centres=(a b c) slots=5 connections=50 ;;
    many-*) # N groups of three upstreams
      groups=() centres=(a) slots=3 connections=20
      for group in $(seq 1 "${deployment#many-}"); do groups+=("group$group"); done ;;
    single) groups=(bench) centres=(a) slots=0 connections=200 members=1 ;;
    *) groups=(orders stock prices) centres=(a b c d) slots=3 connections=20 ;;
  esac
  rm -rf "$run"
  mkdir -p "$run"
  local listed="" configured="" described="" port=$((base + 1)) group number
  start_process "$run" platform "$bin/standin-platform" --listen "127.0.0.1:$base"
  for group in "${groups[@]}"; do
    local upstreams="" addresses="" primary="127.0.0.1:$port"
    for number in $(seq 1 "$members"); do
      local role=(--follow "$primary")
      [ "$number" = 1 ] && role=(--primary)
      start_process "$run" "$group-$number" "$bin/standin-upstream" --name "$group-$number" \
        --listen "127.0.0.1:$port" --connection_limit "$((connections + 5))" --slots "$slots" "${role[@]}" "$@"
      upstreams+="${upstreams:+,}{\"name\":\"$group-$number\",\"address\":\"127.0.0.1:$port\",\"data_centre\":\"${centres[$(((number - 1) % ${#centres[@]}))]}\",\"connections\":$connections,\"slots\":$slots}"
      addresses+="${addresses:+,}\"127.0.0.1:$port\""
      port=$((port + 1))
    done
    configured+="${configured:+,}{\"name\":\"$group\",\"upstreams\":[$upstreams],\"rules\":[{\"name\":\"reports\",\"application\":\"reports\",\"rank\":3},{\"name\":\"writes\",\"reads\":false,\"rank\":1},{\"name\":\"lookups\",\"reads\":true,\"rank\":2}]}"
    described+="${described:+,}\"$group\":[$addresses]"
  done
  echo "{\"schema_version\":1,\"readable_by\":1,\"groups\":[$configured]}" >"$run/configuration.json"
  wait_for_port "$base"
  local callers="" operators=""
  for number in $(seq 1 "$instances"); do
    listed+="${listed:+,}{\"id\":\"entry-$number\",\"peer\":\"127.0.0.1:$((base + 100 + number))\",\"data_centre\":\"${centres[$(((number - 1) % ${#centres[@]}))]}\",\"state\":\"live\"}"
    callers+="${callers:+,}\"127.0.0.1:$((base + 50 + number))\""
    operators+="${operators:+,}\"127.0.0.1:$((base + 150 + number))\""
    start_instance "$run" "$number" "$base" "${centres[$(((number - 1) % ${#centres[@]}))]}"
  done
  echo "[$listed]" >"$run/instances.json"
  echo "{\"callers\":[$callers],\"operators\":[$operators],\"groups\":{$described},\"platform\":\"127.0.0.1:$base\"}" >"$run/endpoints.json"
  "$bin/standin-ctl" --server "127.0.0.1:$base" instances "$run/instances.json" >/dev/null
  for number in $(seq 1 "$instances"); do
    wait_for_port $((base + 150 + number))
  done
  "$bin/anvilmountctl" apply "$run/configuration.json" --server "127.0.0.1:$((base + 151))" >/dev/null
  for number in $(seq 1 "$instances"); do
    wait_until_ready $((base + 150 + number))
  done
}

# start_instance RUN_DIR NUMBER BASE_PORT DATA_CENTRE: adds the flags in $instance_settings.
start_instance() {
  local run=$1 number=$2 base=$3 centre=$4
  # shellcheck disable=SC2086
  start_process "$run" "entry-$number" "$bin/anvilmountd" --id "entry-$number" --data_centre "$centre" \
    --callers "127.0.0.1:$((base + 50 + number))" --peers "127.0.0.1:$((base + 100 + number))" \
    --operators "127.0.0.1:$((base + 150 + number))" --platform "127.0.0.1:$base" ${instance_settings:-}
}

wait_until_ready() {
  for _ in $(seq 1 200); do
    if "$bin/anvilmountctl" status --server "127.0.0.1:$1" 2>/dev/null | grep -q ': ready,'; then return 0; fi
    sleep 0.05
  done
  echo "the instance with operator port $1 is not ready" >&2
  return 1
}

# home_of BASE_PORT UPSTREAM: prints the number of the upstream's home, the instance
# that owns its connections.
home_of() {
  "$bin/anvilmountctl" status --server "127.0.0.1:$(($1 + 151))" | awk -v name="$2" '$1 == name { sub("entry-", "", $4); print $4 }'
}

# steward_of BASE_PORT GROUP: prints the number of the group's coordinator, the instance
# that orders its promotions; the status calls it the steward.
steward_of() {
  "$bin/anvilmountctl" status --server "127.0.0.1:$(($1 + 151))" | sed -n "s/^group $2, .*steward entry-//p"
}

# json_number NAME: reads JSON and prints the first number of that name.
json_number() { grep -o "\"$1\":[-0-9.e+]*" | head -1 | cut -d: -f2; }
