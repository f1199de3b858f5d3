#!/usr/bin/env bash
# Builds everything and shows both deployments at work on loopback: three entry
# processes each, a signed and rolled bundle, a stream and an action.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh release
bin=$PWD/build/release
. meta/processes.sh
ctl=$bin/utilities/pistachioctl/pistachioctl

try_deployment() {
  local name=$1 model=$2 plain=$3 action=$4 key=$5
  shift 5
  local places=("$@")
  echo "== $name"
  start_process "${name}_platform" "$bin/stand_ins/stand_in_platform"
  local platform_var="${name}_platform_port"
  local platform=${!platform_var}
  local public
  public=$("$ctl" bundle keygen --out "$work_dir/$name")
  local place place_name port_var
  for place in "${places[@]}"; do
    place_name=${place//-/_}
    start_process "engine_$place_name" "$bin/stand_ins/stand_in_engine"
    start_process "service_$place_name" "$bin/stand_ins/stand_in_service"
    port_var="engine_${place_name}_port"
    add_vm "$platform" "engine-$place" "${!port_var}" "$place" "$model"
    port_var="service_${place_name}_port"
    add_vm "$platform" "service-$place" "${!port_var}" "$place" "$plain"
    start_node "entry_$place_name" "$platform" "$place" "$public"
  done
  "$ctl" bundle check "samples/$name.ini"
  "$ctl" bundle sign "samples/$name.ini" --key-id ops --key "$work_dir/$name.key" --out "$work_dir/$name.signed"
  "$ctl" bundle roll "$work_dir/$name.signed" --store "http://127.0.0.1:$platform"
  local nodes="" first=""
  for place in "${places[@]}"; do
    port_var="entry_${place//-/_}_port"
    wait_until 10 node_has_bundle "${!port_var}" 1
    wait_until 10 node_has_endpoints "${!port_var}" 6
    nodes="$nodes${nodes:+,}http://127.0.0.1:${!port_var}"
    first=${first:-${!port_var}}
  done
  echo "-- a stream"
  curl -sSN "http://127.0.0.1:$first/v1/chat/completions" -H "Authorization: Bearer $key" \
    --data "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"
  echo "-- an action, sent twice with one key"
  for _ in 1 2; do
    curl -sS "http://127.0.0.1:$first/v1/services/$plain/$action" -H "Authorization: Bearer $key" \
      -H "Idempotency-Key: try-1" --data '{"item":7}'
    echo
  done
  echo "-- status"
  "$ctl" status --nodes "$nodes"
  echo "-- what the first node did"
  cat "$work_dir/entry_${places[0]//-/_}.log"
  echo "-- stop"
  for place in "${places[@]}"; do
    stop_process "entry_${place//-/_}"
    echo "entry_${place//-/_} exits $exit_code"
    [ "$exit_code" -eq 0 ]
  done
}

try_deployment rebozo fitting-guidance loans checkouts cartago-key san-jose-a liberia-a limon-a
try_deployment vltavice assistant lamp-control schedules planners-key praha-a brno-a ostrava-a
echo "all stopped"
