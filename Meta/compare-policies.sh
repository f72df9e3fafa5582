#!/usr/bin/env bash
# Compares placement policies on real processes and in the replay, with the same traces.
# Usage: Meta/compare-policies.sh CONFIGURATION LOAD SECONDS WORKERS SEED...
# For each seed, a trace is generated from the configuration (examples/slipworks.json or
# examples/alarcon.json), stand-ins serve WORKERS endpoints of one of its data centres at the trace's speeds,
# and one entry process runs the trace under each policy in turn. Prints one line of CSV per run.
# Needs build/ and the ports from 17301 on.
set -euo pipefail
cd "$(dirname "$0")/.."
configuration=$1 load=$2 seconds=$3 workers=$4
shift 4
policies=(default random round-robin two-choices least-connections)
figures=(jobs complete refused compared_jobs mean_ratio p50_ratio p99_ratio messages_per_task wasted_per_task
  wasted_refused wasted_unwritten wasted_status_queries wasted_fences wasted_probes)
first_port=17301
entry_port=17290
logs=build/compare-policies/$(basename "$configuration" .json)
rm -rf "$logs" && mkdir -p "$logs"
pids=()
stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

replay() {
  build/Utilities/Replay/cornellift-replay --configuration "$configuration" --workers "$workers" \
    --load "$load" --seconds "$seconds" "$@"
}

# run_processes POLICY SEED: starts the deployment, sends the trace, prints the load tool's CSV.
run_processes() {
  local run=$logs/$1-$2 port=$first_port speed
  replay --seed "$2" --policies "$1" --first-port $first_port --write-configuration "$run.json"
  for speed in $(sed -n 's/.*"speed":\([0-9.]*\),"type":"worker".*/\1/p' "$logs/$2.jsonl"); do
    build/Services/EndpointStandIn/cornellift-endpoint-stand-in --ports "$port" --speed "$speed" \
      >>"$run.endpoints.out" 2>&1 &
    pids+=($!)
    port=$((port + 1))
  done
  build/Services/EntryDaemon/cornellift-entryd --vm-name entry-1 --data-centre "$centre" \
    --http-port $entry_port --team-keys "$keys" --configuration-file "$run.json" --log-level warn \
    >"$run.entry.out" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    curl -fsS -o /dev/null http://127.0.0.1:$entry_port/ready 2>/dev/null && break
    sleep 0.1
  done
  build/Utilities/Load/cornellift-load --entry 127.0.0.1:$entry_port --team-keys "$keys" \
    --trace "$logs/$2.jsonl" --connections 256 --longest-ms 300000 --format csv
  stop_all
}

# print_row RUN POLICY SEED < CSV: prints the selected columns; those missing in the CSV stay empty.
print_row() {
  awk -F, -v run="$1" -v policy="$2" -v seed="$3" -v wanted="${figures[*]}" '
    NR == 1 { for (i = 1; i <= NF; i++) column[$i] = i }
    NR == 2 { line = run "," policy "," seed; n = split(wanted, names, " ")
              for (i = 1; i <= n; i++) line = line "," (names[i] in column ? $(column[names[i]]) : "")
              print line }'
}

echo "run,policy,seed,$(IFS=,; echo "${figures[*]}")"
for seed in "$@"; do
  replay --seed "$seed" --write-trace "$logs/$seed.jsonl"
  centre=$(sed -n 's/.*"data_centre":"\([^"]*\)".*/\1/p' "$logs/$seed.jsonl" | head -1)
  keys=$(sed -n 's/.*"name":"\([^"]*\)","share":.*"type":"team".*/\1=key-\1/p' "$logs/$seed.jsonl" | paste -sd,)
  for policy in "${policies[@]}"; do
    run_processes "$policy" "$seed" | tee "$logs/$policy-$seed.csv" | print_row processes "$policy" "$seed"
  done
  for policy in "${policies[@]}"; do
    build/Utilities/Replay/cornellift-replay --trace "$logs/$seed.jsonl" --policies "$policy" --format csv \
      2>/dev/null | tee "$logs/replay-$policy-$seed.csv" | print_row replay "$policy" "$seed"
  done
done
