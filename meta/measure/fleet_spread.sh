#!/usr/bin/env bash
# 24 real entry processes in three data centres on loopback: changes are
# rolled while processes are paused, killed, and started in a store outage.
# NOTE: $seed orders who is paused and killed.
set -euo pipefail
. meta/processes.sh
ctl=$bin/utilities/pistachioctl/pistachioctl
nodes=24
places=(san-jose-a liberia-a limon-a)
RANDOM=$((seed % 32768))
version=0
declare -A roll_time=()

"$ctl" bundle keygen --out "$work_dir/ops" >"$work_dir/keygen.out"
key=$(cat "$work_dir/ops.pub")
key=${key##*:}
secret=$(printf '%064x' 7)
start_process platform "$bin/stand_ins/stand_in_platform"

start_fleet_node() {
  start_node "$1" "$platform_port" "$2" "$key" --set "cluster.secret_keys=$secret" ${seeds:+--set "cluster.seeds=$seeds"}
}

# roll: commits the next version and notes when it was accepted.
roll() {
  version=$((version + 1))
  sed "s/^version = .*/version = $version/" samples/rebozo.ini >"$work_dir/bundle.ini"
  "$ctl" bundle sign "$work_dir/bundle.ini" --key-id ops --key "$work_dir/ops.key" --out "$work_dir/signed.$version" >"$work_dir/sign.out"
  "$ctl" bundle roll "$work_dir/signed.$version" --store "http://127.0.0.1:$platform_port" >"$work_dir/roll.out"
  roll_time[$version]=$(date +%s.%N)
}

# in_force_everywhere VERSION NAME...
in_force_everywhere() {
  local wanted=$1 name
  shift
  for name in "$@"; do
    grep -q "bundle.in_force version=$wanted " "$work_dir/$name.log" || return 1
  done
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# node_bytes NAME: bytes that a node sent to and received from the others.
node_bytes() {
  local port=$1_port
  curl -sSf "http://127.0.0.1:${!port}/metrics" |
    awk '/^pistachiowalk_node_bytes\{/ {sum += $2} END {printf "%d\n", sum}'
}

seeds=
start_fleet_node n0 "${places[0]}"
seeds=$(sed -n 's/.*membership.listening address=//p' "$work_dir/n0.log")
names=(n0)
for ((i = 1; i < nodes; ++i)); do
  start_fleet_node "n$i" "${places[$((i % 3))]}"
  names+=("n$i")
done
roll
wait_until 10 in_force_everywhere 1 "${names[@]}"

# Steady changes, and what they cost.
declare -A ticks_before=() bytes_before=()
for name in "${names[@]}"; do
  ticks_before[$name]=$(cpu_ticks "${process_ids[$name]}")
  bytes_before[$name]=$(node_bytes "$name")
done
begin=$(date +%s.%N)
for _ in 1 2 3 4 5 6 7 8; do
  roll
  sleep 1
done
end=$(date +%s.%N)
highest_ticks=0 highest_bytes=0 highest_rss=0
for name in "${names[@]}"; do
  ticks=$(($(cpu_ticks "${process_ids[$name]}") - ${ticks_before[$name]}))
  bytes=$(($(node_bytes "$name") - ${bytes_before[$name]}))
  rss=$(awk '/^VmRSS/ {print $2 * 1024}' "/proc/${process_ids[$name]}/status")
  [ "$ticks" -le "$highest_ticks" ] || highest_ticks=$ticks
  [ "$bytes" -le "$highest_bytes" ] || highest_bytes=$bytes
  [ "$rss" -le "$highest_rss" ] || highest_rss=$rss
done

# Two processes pause while changes are rolled.
paused=("n$((1 + RANDOM % 11))" "n$((12 + RANDOM % 12))")
kill -STOP "${process_ids[${paused[0]}]}" "${process_ids[${paused[1]}]}"
for _ in 1 2; do
  roll
  sleep 1
done
kill -CONT "${process_ids[${paused[0]}]}" "${process_ids[${paused[1]}]}"
wait_until 10 in_force_everywhere "$version" "${names[@]}"

# The platform goes silent; two processes die and two start from their peers.
killed=("n$((1 + RANDOM % 11))" "n$((12 + RANDOM % 12))")
kill -KILL "${process_ids[${killed[0]}]}" "${process_ids[${killed[1]}]}"
kill -STOP "${process_ids[platform]}"
for name in "${killed[@]}"; do
  unset "process_ids[$name]"
done
running=()
for name in "${names[@]}"; do
  [ "$name" = "${killed[0]}" ] || [ "$name" = "${killed[1]}" ] || running+=("$name")
done
start_fleet_node n24 "${places[0]}"
start_fleet_node n25 "${places[1]}"
running+=(n24 n25)
joined=0
wait_until 10 in_force_everywhere "$version" n24 n25 && joined=1
kill -CONT "${process_ids[platform]}"
sleep 1
roll
wait_until 10 in_force_everywhere "$version" "${running[@]}"

# in_force lines of a log are `DATE TIME LEVEL PW4001 ... version=N ...`.
highest=0 reverts=0
for name in "${names[@]}" n24 n25; do
  last=0
  while read -r stamp number; do
    [ "$number" -gt "$last" ] || reverts=$((reverts + 1))
    last=$number
    case " ${paused[*]} n24 n25 " in *" $name "*) continue ;; esac
    took=$(awk -v a="$(date -d "$stamp" +%s.%N)" -v b="${roll_time[$number]}" 'BEGIN {print a - b}')
    highest=$(awk -v a="$took" -v b="$highest" 'BEGIN {print (a > b) ? a : b}')
  done < <(sed -n 's/^\([^ ]*\) .*bundle.in_force version=\([0-9]*\).*/\1 \2/p' "$work_dir/$name.log")
done
passed=$(awk -v a="$end" -v b="$begin" 'BEGIN {print a - b}')
echo "fleet_spread.in_force_s: $highest s"
echo "fleet_spread.reverts: $reverts count"
echo "fleet_spread.joined_in_outage: $joined share"
awk -v t="$highest_ticks" -v p="$passed" -v hz="$(getconf CLK_TCK)" 'BEGIN {print "fleet_spread.cpu_share: " t / hz / p " share"}'
echo "fleet_spread.rss_bytes: $highest_rss B"
awk -v b="$highest_bytes" -v p="$passed" 'BEGIN {print "fleet_spread.bytes_per_second: " b / p " B/s"}'
