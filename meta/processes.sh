# Functions for scripts that run the programs on loopback. Source it; it stops
# what it started when the script ends.
work_dir=$(mktemp -d)
declare -A process_ids=()

stop_all_processes() {
  local name
  for name in "${!process_ids[@]}"; do
    kill "${process_ids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work_dir"
}
trap stop_all_processes EXIT

# start_process NAME COMMAND...: runs it in the background, waits until it
# listens, and sets the variable NAME_port.
start_process() {
  local name=$1
  shift
  : >"$work_dir/$name.out"
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
  process_ids[$name]=$!
  local port=""
  for _ in $(seq 100); do
    port=$(sed -n 's/^listening on port //p' "$work_dir/$name.out")
    [ -n "$port" ] && break
    kill -0 "${process_ids[$name]}" 2>/dev/null || break
    sleep 0.05
  done
  if [ -z "$port" ]; then
    echo "$name did not start:" >&2
    cat "$work_dir/$name.log" >&2
    return 1
  fi
  printf -v "${name}_port" '%s' "$port"
}

# stop_process NAME: stops it by SIGTERM and sets exit_code.
stop_process() {
  exit_code=0
  kill -TERM "${process_ids[$1]}"
  wait "${process_ids[$1]}" || exit_code=$?
  unset "process_ids[$1]"
}

# add_vm PLATFORM_PORT ID PORT PLACE SERVICE: puts an endpoint into the VM list.
add_vm() {
  curl -sSf -o "$work_dir/curl.out" "http://127.0.0.1:$1/stand-in/vms" --data \
    "{\"id\":\"$2\",\"address\":\"127.0.0.1\",\"port\":$3,\"place\":\"$4\",\"vm_class\":\"standard\",\"service\":\"$5\",\"state\":\"live\"}"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt "$end" ] || return 1
    sleep 0.05
  done
}

# start_node NAME PLATFORM_PORT PLACE PUBLIC_KEY [EXTRA ARGUMENTS...]
start_node() {
  local name=$1 platform=$2 place=$3 key=$4
  shift 4
  start_process "$name" "$bin/services/pistachiowalkd/pistachiowalkd" \
    --set "node.name=${name//_/-}" --set "node.place=$place" --set "node.data_center=$place" \
    --set listen.port=0 --set "platform.store_url=http://127.0.0.1:$platform" \
    --set "platform.vm_list_url=http://127.0.0.1:$platform" \
    --set platform.vm_list_interval_ms=200 --set "bundle.trusted_keys=ops:$key" "$@"
}

# node_has_bundle PORT VERSION
node_has_bundle() {
  curl -sf "http://127.0.0.1:$1/v1/status" | grep -q "\"bundle_version\":$2,"
}

# node_has_endpoints PORT COUNT
node_has_endpoints() {
  [ "$(curl -sf "http://127.0.0.1:$1/v1/status" | grep -o '"state":"live"' | wc -l)" -ge "$2" ]
}
