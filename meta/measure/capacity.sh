# What control costs a node, and the platform's store, at the design size: the
# slopes are measured anew and summed as docs/CAPACITY.md does.
. meta/processes.sh

value_of() { awk -v key="$2:" '$1 == key { print $2 }' "$1"; }

# One idle entry process: what stands before any fleet.
ctl=$bin/utilities/pistachioctl/pistachioctl
public=$("$ctl" bundle keygen --out "$work_dir/ops")
start_process platform "$bin/stand_ins/stand_in_platform"
start_node entry "$platform_port" san-jose-a "$public" --set log.level=error
"$ctl" bundle sign samples/rebozo.ini --key-id ops --key "$work_dir/ops.key" --out "$work_dir/signed" >"$work_dir/sign.out"
"$ctl" bundle roll "$work_dir/signed" --store "http://127.0.0.1:$platform_port" >"$work_dir/roll.out"
wait_until 10 node_has_bundle "$entry_port" 1
before=$(awk '{ print $14 + $15 }' "/proc/${process_ids[entry]}/stat")

# The cores at three sizes each; the largest fleet is the design size.
"$bin/utilities/measure_spread/measure_spread" --seed "$seed" --nodes 140 600 2500 >"$work_dir/spread.txt"
"$bin/utilities/measure_choose/measure_choose" "$seed" >"$work_dir/choose.txt"
"$bin/utilities/measure_plan/measure_plan" "$seed" >"$work_dir/plan.txt"

after=$(awk '{ print $14 + $15 }' "/proc/${process_ids[entry]}/stat")
# Field 22 of stat is the start time; the process has run since then.
uptime_ticks=$(($(awk -v hz="$(getconf CLK_TCK)" '{ printf "%d", $1 * hz }' /proc/uptime) - $(awk '{ print $22 }' "/proc/${process_ids[entry]}/stat")))
idle_rss=$(awk '/VmRSS/ { print $2 * 1024 }' "/proc/${process_ids[entry]}/status")
cat "$work_dir/spread.txt" "$work_dir/choose.txt" "$work_dir/plan.txt" | grep -E '^(spread|choose|plan)\.' | sed 's/^/capacity.slope./'

awk -v idle_cpu="$(((after - before)))" -v idle_ticks="$uptime_ticks" -v idle_rss="$idle_rss" \
  -v spread_cpu="$(value_of "$work_dir/spread.txt" spread.2500.cpu_share)" \
  -v spread_bytes="$(value_of "$work_dir/spread.txt" spread.2500.bytes_per_node_second)" \
  -v spread_state="$(value_of "$work_dir/spread.txt" spread.2500.state_bytes)" \
  -v spread_calls="$(value_of "$work_dir/spread.txt" spread.2500.store_calls_per_second)" \
  -v table_bytes="$(value_of "$work_dir/choose.txt" choose.10000.bytes)" \
  -v plan_ms="$(value_of "$work_dir/plan.txt" plan.10000_workers.mean_ms)" \
  -v plan_state="$(value_of "$work_dir/plan.txt" plan.10000_workers.state_bytes)" '
BEGIN {
  plan_interval_ms = 10000; data_centers = 18
  # The node that holds its data centre'\''s lease plans its share of the workers.
  plan_share = plan_ms / data_centers / plan_interval_ms
  printf "capacity.cpu_share: %.5f share\n", idle_cpu / idle_ticks + spread_cpu + plan_share
  printf "capacity.rss_bytes: %.0f bytes\n", idle_rss + spread_state + table_bytes + plan_state / data_centers
  # Limits: one datagram a second each way for each active customer, about 150 bytes.
  printf "capacity.control_bytes_per_second: %.0f bytes/s\n", spread_bytes + 2 * 150 * 5
  # Claims with one writer a range, changes of the bundle, leases.
  printf "capacity.store_writes_per_second: %.0f calls/s\n", 165 + 2 * 0.82 + data_centers / 2
  # Spread, and 2,500 nodes that look at their lease every 10 s.
  printf "capacity.store_reads_per_second: %.0f calls/s\n", spread_calls + 2500 / 10
}'
