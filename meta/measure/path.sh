# What one entry process adds to a stream, how many streams it holds, and what
# a request costs it. Direct and through the entry process run side by side.
. meta/processes.sh
load=$bin/utilities/pistachioload/pistachioload
ctl=$bin/utilities/pistachioctl/pistachioctl

# Value of KEY in a load's output FILE.
value_of() { awk -v key="$2:" '$1 == key { print $2 }' "$1"; }
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

public=$("$ctl" bundle keygen --out "$work_dir/ops")
start_process platform "$bin/stand_ins/stand_in_platform"
start_process direct "$bin/stand_ins/stand_in_engine" --token-us 20000
start_process engine "$bin/stand_ins/stand_in_engine" --token-us 20000
start_process slow "$bin/stand_ins/stand_in_engine" --token-us 400000
start_process service "$bin/stand_ins/stand_in_service" --delay-ms 0
start_node entry "$platform_port" san-jose-a "$public" --set log.level=error
sed -e 's/^requests_per_second.*/requests_per_second = 1000000/' -e 's/^tokens_per_second.*/tokens_per_second = 1000000000/' \
  samples/rebozo.ini >"$work_dir/bundle.ini"
cat >>"$work_dir/bundle.ini" <<'B'
[service slow]
kind = model
model = slow
places = san-jose-a
deadline_ms = 60000
B
"$ctl" bundle sign "$work_dir/bundle.ini" --key-id ops --key "$work_dir/ops.key" --out "$work_dir/signed" >"$work_dir/sign.out"
"$ctl" bundle roll "$work_dir/signed" --store "http://127.0.0.1:$platform_port" >"$work_dir/roll.out"
add_vm "$platform_port" engine "$engine_port" san-jose-a fitting-guidance
add_vm "$platform_port" slow "$slow_port" san-jose-a slow
add_vm "$platform_port" service "$service_port" san-jose-a loans
wait_until 10 node_has_bundle "$entry_port" 1
wait_until 10 node_has_endpoints "$entry_port" 3
sleep 1
echo "path.idle_rss_bytes: $(awk '/VmRSS/ { print $2 * 1024 }' "/proc/${process_ids[entry]}/status") bytes"

# 30 requests/s of 267 tokens: 8,000 tokens/s each way, for 10 s.
stream="--key cartago-key --service fitting-guidance --rate 30 --count 300 --tokens 267 --seed $seed"
before=$(cpu_ticks "${process_ids[entry]}")
"$load" stream --url "http://127.0.0.1:$direct_port" $stream >"$work_dir/direct.txt" &
direct_load=$!
"$load" stream --url "http://127.0.0.1:$entry_port" $stream >"$work_dir/entry.txt"
wait "$direct_load"
grep -h -E "ttft|itl" "$work_dir/direct.txt" "$work_dir/entry.txt" >&2
for figure in ttft.p50 ttft.p99 itl.p99; do
  added=$(($(value_of "$work_dir/entry.txt" "load.$figure") - $(value_of "$work_dir/direct.txt" "load.$figure")))
  echo "path.${figure/./_added_}: $added us"
done
after=$(cpu_ticks "${process_ids[entry]}")
awk -v tokens="$(value_of "$work_dir/entry.txt" load.tokens)" -v ticks="$((after - before))" -v rate="$(getconf CLK_TCK)" \
  'BEGIN { printf "path.cpu_per_token: %.1f us\n", ticks / rate * 1e6 / tokens }'
echo "path.stream_errors: $(($(value_of "$work_dir/entry.txt" load.streams) - $(value_of "$work_dir/entry.txt" load.complete))) count"

"$load" stream --url "http://127.0.0.1:$entry_port" --key cartago-key --service slow --count 1000 --tokens 20 --seed "$seed" \
  >"$work_dir/held.txt"
echo "path.streams_held: $(value_of "$work_dir/held.txt" load.complete) count"

before=$(cpu_ticks "${process_ids[entry]}")
"$load" plain --url "http://127.0.0.1:$entry_port" --key cartago-key --service loans --loops 32 --count 20000 --seed "$seed" \
  >"$work_dir/plain.txt"
after=$(cpu_ticks "${process_ids[entry]}")
ticks_per_second=$(getconf CLK_TCK)
awk -v calls="$(($(value_of "$work_dir/plain.txt" load.calls) - $(value_of "$work_dir/plain.txt" load.errors)))" \
  -v ticks="$((after - before))" -v rate="$ticks_per_second" \
  'BEGIN { printf "path.requests_per_core_second: %.0f requests/s\n", calls * rate / ticks }'
echo "path.busy_rss_bytes: $(awk '/VmRSS/ { print $2 * 1024 }' "/proc/${process_ids[entry]}/status") bytes"
