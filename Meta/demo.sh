#!/usr/bin/env bash
# Installs missing packages, builds, starts a complete deployment on loopback (two data centres with two
# entry VMs and six endpoints each, and a stand-in for the platform) and runs one job end to end; then
# runs the demonstration for the users' platform.
# With --keep, leaves everything running until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh

logs=build/demo
rm -rf "$logs" && mkdir -p "$logs"
pids=()
stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT

# launch NAME PROGRAM ARGUMENTS...: runs in the background with its output in the log directory.
launch() {
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>&1 &
  pids+=($!)
}

# wait_for URL: polls until it answers with success, for at most 20 s.
wait_for() {
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "demo: $1 does not answer; see $logs (are the ports 7101 to 7500 in use?)" >&2
  exit 3
}

services=build/Services
launch platform $services/PlatformStandIn/cornellift-platform-stand-in --port 7500
launch endpoints-ikeja $services/EndpointStandIn/cornellift-endpoint-stand-in \
  --ports 7101,7102,7103,7104,7105,7106 --task-log "$logs/tasks-ikeja.jsonl"
launch endpoints-yaba $services/EndpointStandIn/cornellift-endpoint-stand-in \
  --ports 7201,7202,7203,7204,7205,7206 --task-log "$logs/tasks-yaba.jsonl"
wait_for http://127.0.0.1:7500/control/counters

seeds=ikeja-1=127.0.0.1:7401,ikeja-2=127.0.0.1:7402,yaba-1=127.0.0.1:7403,yaba-2=127.0.0.1:7404
number=0
for vm in ikeja-1 ikeja-2 yaba-1 yaba-2; do
  number=$((number + 1))
  launch "entry-$vm" $services/EntryDaemon/cornellift-entryd --vm-name "$vm" --data-centre "${vm%-*}" \
    --http-port $((7300 + number)) --peer-address 127.0.0.1:$((7400 + number)) --seed-peers "$seeds" \
    --platform-address 127.0.0.1:7500 --team-keys head-office=head-office-key,counter=counter-key \
    --operator-keys demo=operator-key --log-file "$logs/entry-$vm.jsonl"
done

export CORNELLIFT_ENTRY=127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303,127.0.0.1:7304
build/Utilities/Operator/cornellift-operator seed examples/demo.json --key operator-key \
  --why "first version"
for port in 7301 7302 7303 7304; do wait_for http://127.0.0.1:$port/ready; done

echo; echo "== a job of 100 tasks of 50 ms, as the team head-office"
build/Utilities/Caller/cornellift-caller submit --key head-office-key --tasks 100 --run-ms 50 |
  tee "$logs/answer.txt" | head -3
results=$(wc -l <"$logs/answer.txt")
starts=$(cat "$logs"/tasks-*.jsonl | grep -c '"event":"start"')
echo "... $results results; the endpoints logged $starts starts"
[ "$results" -eq 100 ] && [ "$starts" -eq 100 ]

echo; echo "== the entry VMs"
build/Utilities/Operator/cornellift-operator status --key operator-key

cat <<'TEXT'

Next (start this script with --keep and use another terminal):
  export CORNELLIFT_ENTRY=127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303,127.0.0.1:7304
  build/Utilities/Caller/cornellift-caller submit --key counter-key --kind reprint --tasks 1
  echo '{"teams": {"counter": {"quota_share": 50}}}' |
    build/Utilities/Operator/cornellift-operator patch - --key operator-key --why "payday"
  build/Utilities/Operator/cornellift-operator audit --key operator-key
  build/Utilities/Operator/cornellift-operator drain ikeja-2 --key operator-key
  curl -s 127.0.0.1:7301/metrics
Logs are in build/demo. Documentation: README.md.
TEXT
echo; Meta/demo-platform.sh
if [ "${1:-}" = "--keep" ]; then
  echo "running; interrupt to stop"
  wait
fi
