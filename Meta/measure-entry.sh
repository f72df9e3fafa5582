#!/usr/bin/env bash
# Measures the cost of one entry process at four job rates, for jobs of one size.
# Usage: Meta/measure-entry.sh TASKS_PER_JOB RATE RATE RATE RATE   (jobs per second)
# Prints tasks per second, processor time per second, resident memory and latency, and the
# least-squares fit of processor time against tasks per second. Needs build/ and the ports 17101 to 17106.
set -euo pipefail
cd "$(dirname "$0")/.."
tasks=$1
shift
seconds=8
logs=build/measure-entry
rm -rf "$logs" && mkdir -p "$logs"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true' EXIT

sed 's/127.0.0.1:71/127.0.0.1:171/; s/127.0.0.1:72/127.0.0.1:172/' examples/demo.json >"$logs/demo.json"
build/Services/EndpointStandIn/cornellift-endpoint-stand-in \
  --ports 17101,17102,17103,17104,17105,17106 >"$logs/endpoints.out" 2>&1 &
pids+=($!)
build/Services/EntryDaemon/cornellift-entryd --vm-name ikeja-1 --data-centre ikeja --http-port 18081 \
  --team-keys head-office=key --configuration-file "$logs/demo.json" --log-level warn >"$logs/entry.out" 2>&1 &
entry=$!
pids+=("$entry")
for _ in $(seq 100); do
  curl -fsS -o /dev/null http://127.0.0.1:18081/ready 2>/dev/null && break
  sleep 0.1
done
load() {
  build/Utilities/Load/cornellift-load --entry 127.0.0.1:18081 --key key --entry-pids "$entry" \
    --run-ms 20 --tasks "$tasks" --format csv "$@"
}
load --jobs 200 --rate 100 >/dev/null
echo "jobs_per_second,cpu_us_per_task,added_p50_ms,added_p99_ms,resident_mb (first line: the tool's names)"
for rate in "$@"; do
  load --jobs "$(awk "BEGIN{print int($rate*$seconds)}")" --rate "$rate" --seed 7 >"$logs/$rate.csv"
  [ "$rate" = "$1" ] && head -1 "$logs/$rate.csv"
  echo "$rate | $(tail -1 "$logs/$rate.csv") | resident_mb $(awk '/VmRSS/{print $2/1024}' /proc/"$entry"/status)"
done
