#!/usr/bin/env bash
# Demonstrates operation on the users' platform, with stand-ins for its store and workers: four entry
# processes in two data centres run a job, one of them is killed, another job runs, and its history is
# reconstructed from the logs. Needs build/.
set -euo pipefail
cd "$(dirname "$0")/.."

logs=build/demo-platform
rm -rf "$logs" && mkdir -p "$logs"
declare -A pids
stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT

# launch NAME PROGRAM ARGUMENTS...: runs in the background with its output in the log directory.
launch() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids[$name]=$!
}

# wait_until NAME COMMAND...: retries the command until it succeeds, for at most 20 s.
wait_until() {
  local name=$1
  shift
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "demo: $name is not ready; see $logs (are the ports 8300 to 8605 in use?)" >&2
  exit 3
}

# submit PORT ID: posts a job of four tasks of 200 ms and prints its answer.
submit() {
  curl -sS --max-time 10 -H 'Host: slips.example' -H 'Deadline-Ms: 5000' \
    -w ' (status %{http_code}, %{time_total} s)\n' "http://127.0.0.1:$1/slips/$2" -d '{
      "spec": "run_ms=200 cores=2", "bestEffort": true,
      "phases": [{"count": 4, "cpu": 2000, "memMb": 10, "estRuntimeMs": 200}]}'
}

cat >"$logs/configuration.json" <<'JSON'
{"version": 1,
 "routes": [{"name": "slips", "host": "slips.example", "prefix": "/slips/", "kind": "non_idempotent",
             "timeoutMs": 5000, "targetLatencyMs": 60, "priority": 0, "service": "print",
             "maxAttempts": 3, "stretch": 2.0}],
 "services": [{"name": "print", "maxConns": 64, "enforcesCapacity": true}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}}
JSON

launch platform build/Services/FleetStandIn/cornellift-fleet-stand-in --store-port 8600 \
  --control-port 8601 --data-centres ikeja,yaba --configuration-file "$logs/configuration.json"
wait_until "the platform" grep -q store "$logs/platform.log"
number=0
for vm in ikeja-1 ikeja-2 yaba-1 yaba-2; do
  number=$((number + 1))
  launch "$vm" build/Services/PoolDaemon/cornellift-poold --vm-name "$vm" --data-centre "${vm%-*}" \
    --data-centres ikeja,yaba --caller-address 127.0.0.1:$((8300 + number)) \
    --readiness-address 127.0.0.1:$((8400 + number)) --mesh-address 127.0.0.1:$((8500 + number)) \
    --metrics-port $((8310 + number)) --store-address 127.0.0.1:8600 \
    --seed-addresses 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503,127.0.0.1:8504
done
for port in 8401 8402 8403 8404; do wait_until "port $port" curl -fsS "http://127.0.0.1:$port/v1/readyz"; done
sleep 2

echo "== a job of four tasks of 200 ms, sent to ikeja-2"
submit 8302 00000000000000a1

echo "== ikeja-1 is killed; a job sent to ikeja-2 while its data centre has no manager"
kill -KILL "${pids[ikeja-1]}"
submit 8302 00000000000000a2
echo "   1.3 s later the caller sends it again"
sleep 1.3
submit 8302 00000000000000a2

echo "== its way, from the logs"
build/Utilities/Operator/cornellift-operator explain 00000000000000a2 "$logs"/ikeja-2.log \
  "$logs"/yaba-1.log "$logs"/yaba-2.log | cut -c1-150
echo "== metrics of ikeja-2"
curl -fsS http://127.0.0.1:8312/metrics | grep -E '^cornellift_(jobs_total|workers|runs_total)'
