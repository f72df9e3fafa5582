#!/usr/bin/env bash
# Runs idle entry processes on loopback and measures what their control plane costs:
#   Meta/measure-control.sh CENTRES VMS_PER_CENTRE SECONDS [CHANGES_PER_SECOND [ENDPOINTS]]
# CHANGES_PER_SECOND (0 by default) are sent to the VMs in turn. The document has ENDPOINTS endpoints
# in total (one per data centre by default), which are drained so that no VM calls them.
# Prints one line of JSON. Bytes come from the kernel's TCP counters of each process's peer sockets
# (payload and segments, both directions); platform calls and bytes from the stand-in's counters.
# CORNELLIFT_ENTRYD names another entry process to measure, such as an earlier build.
set -euo pipefail
cd "$(dirname "$0")/.."
centres=${1:?centres} per_centre=${2:?VMs per centre} seconds=${3:?seconds} rate=${4:-0} endpoint_count=${5:-$1}
entryd=${CORNELLIFT_ENTRYD:-build/Services/EntryDaemon/cornellift-entryd}
work=$(mktemp -d)
touch "$work/platform.out"
declare -A pid_of
platform_pid=
cleanup() {
  grep -h -e ERROR -e "^cornellift" "$work/log" 2>/dev/null | sort | uniq -c | sort -rn | head -5 >&2 || true
  for name in "${!pid_of[@]}"; do kill "${pid_of[$name]}" 2>/dev/null || true; done
  for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null || true; done
  [ -z "$platform_pid" ] || kill "$platform_pid" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

build/Services/PlatformStandIn/cornellift-platform-stand-in --threads 96 >"$work/platform.out" &
platform_pid=$!
until grep -q '[0-9]$' "$work/platform.out"; do sleep 0.05; done
platform=127.0.0.1:$(grep -o '[0-9]*$' "$work/platform.out" | head -1)

vms= seeds= endpoints=
for ((c = 0; c < centres; ++c)); do
  for ((v = 1; v <= per_centre; ++v)); do
    vms+="${vms:+,}{\"name\":\"c$c-$v\",\"address\":\"127.0.0.1:$((20000 + c * 100 + v))\",\"data_centre\":\"c$c\",\"state\":\"live\"}"
  done
  seeds+="${seeds:+,}c$c-1=127.0.0.1:$((20000 + c * 100 + 1))"
done
for ((e = 0; e < endpoint_count; ++e)); do
  c=$((e % centres))
  endpoints+="${endpoints:+,}\"worker-c$c-r$((e / 54))-w$e\":{\"address\":\"127.0.0.1:$((9000 + e))\",\"data_centre\":\"c$c\",\"rack\":\"rack-$c-$((e / 54))\",
    \"services\":[\"slips\"],\"slots\":8,\"connections\":64,\"drained\":true,\"capacity\":{\"processors\":16,\"memory_mb\":65536}}"
done
document="{\"services\":{\"slips\":{\"kinds\":{\"batch\":{\"expected_run_time_ms\":5}}}},
  \"teams\":{\"counter\":{\"quota_share\":1}},\"endpoints\":{$endpoints}}"
echo "{\"version\":1,\"document\":$document,\"change\":{\"version\":1,\"patch_id\":\"p\",
  \"who\":\"op\",\"when_ms\":1,\"why\":\"start\",\"patch\":{},\"inverse\":{}}}" | curl -sf -X PUT -H "Content-Type: application/json" --data-binary @- \
  "http://$platform/v1/keys/configuration/head?expect=0" >/dev/null
curl -sf -X PUT --data "{\"vms\":[$vms]}" "http://$platform/control/vms" >/dev/null

for ((c = 0; c < centres; ++c)); do
  for ((v = 1; v <= per_centre; ++v)); do
    "$entryd" --vm-name "c$c-$v" --data-centre "c$c" \
      --http-port $((18000 + c * 100 + v)) --peer-address "127.0.0.1:$((20000 + c * 100 + v))" \
      --seed-peers "$seeds" --platform-address "$platform" --operator-keys op=k --log-level warn \
      >/dev/null 2>>"$work/log" &
    pid_of["c$c-$v"]=$!
  done
done
for name in "${!pid_of[@]}"; do
  c=${name%-*} v=${name#*-}
  for ((try = 0; try < 150; ++try)); do
    curl -sf "http://127.0.0.1:$((18000 + ${c#c} * 100 + v))/ready" >/dev/null && break
    sleep 0.1
  done
  [ "$try" -lt 150 ] || { echo "$name is not ready" >&2; exit 1; }
done
sleep 15 # The initial connections and synchronisation are not part of the steady state.

# Prints "pid local remote sent received segments_out segments_in" for each peer socket.
sockets() {
  ss -Htnpi state established 2>/dev/null | awk -v own=" ${pid_of[*]} " '
    /users:/ { local_ = $3; remote = $4; match($0, /pid=[0-9]+/); pid = substr($0, RSTART + 4, RLENGTH - 4); next }
    { sent = got = out = into = 0
      for (i = 1; i <= NF; ++i) {
        split($i, p, ":")
        if (p[1] == "bytes_sent") sent = p[2]
        if (p[1] == "bytes_received") got = p[2]
        if (p[1] == "segs_out") out = p[2]
        if (p[1] == "segs_in") into = p[2]
      }
      if (!index(own, " " pid " ")) next
      if (local_ ~ /:2[0-9][0-9][0-9][0-9]$/ || remote ~ /:2[0-9][0-9][0-9][0-9]$/) print pid, local_, remote, sent, got, out, into }'
}
processor() { for pid in "${pid_of[@]}"; do awk -v pid="$pid" '{ print pid, $14 + $15 }' "/proc/$pid/stat"; done; }
calls() { curl -sf "http://$platform/control/counters"; }
names=("${!pid_of[@]}") version=1
http_of() { local c=${1%-*} v=${1#*-}; echo "127.0.0.1:$((18000 + ${c#c} * 100 + v))"; }
# Creates the next version through the VM with the given index; a change modifies one endpoint.
change() {
  local e=$((version * 37 % endpoint_count)) vm=${names[$(($1 % ${#names[@]}))]} body
  body="{\"base_version\":$version,\"patch_id\":\"p$version\",\"why\":\"change number $version\",\"patch\":
    {\"endpoints\":{\"worker-c$((e % centres))-r$((e / 54))-w$e\":{\"connections\":$((32 + version % 16))}}}}"
  curl -sf -X PATCH -H "X-Cornellift-Key: k" --data "$body" "http://$(http_of "$vm")/v1/configuration" >/dev/null ||
    echo "change $version failed on $vm" >&2
  version=$((version + 1))
}
changes=$(awk -v s="$seconds" -v r="$rate" 'BEGIN { print int(s * r) }')
if [ "$changes" -gt 0 ]; then change 0; sleep 3; fi # The first change includes the initial fetch by the peers.

sockets >"$work/before"; processor >"$work/cpu-before"; calls >"$work/calls-before"
until_ns=$(($(date +%s%N) + seconds * 1000000000)) begin_ns=$(date +%s%N)
for ((i = 0; i < changes; ++i)); do
  sleep "$(awk -v b="$begin_ns" -v i="$i" -v r="$rate" -v now="$(date +%s%N)" 'BEGIN { t = (b + i * 1e9 / r - now) / 1e9; print (t > 0 ? t : 0) }')"
  change "$((i + 1))"
done
sleep "$(awk -v u="$until_ns" -v now="$(date +%s%N)" 'BEGIN { t = (u - now) / 1e9; print (t > 0 ? t : 0) }')"
sockets >"$work/after"; processor >"$work/cpu-after"; calls >"$work/calls-after"
for pid in "${pid_of[@]}"; do awk -v pid="$pid" '/VmRSS/ { rss = $2 } /RssAnon/ { anon = $2 } END { print pid, rss, anon }' \
  "/proc/$pid/status"; done >"$work/memory"
in_force_ms=0
if [ "$changes" -gt 0 ]; then # Time until one more change has reached all VMs, including the polling time.
  begin_ns=$(date +%s%N)
  change 0
  for name in "${names[@]}"; do
    until curl -sf "http://$(http_of "$name")/metrics" | grep -q "^cornellift_configuration_version $version"; do
      [ $(($(date +%s%N) - begin_ns)) -lt 20000000000 ] || { echo "$name lacks version $version" >&2; break; }
      sleep 0.02
    done
  done
  in_force_ms=$((($(date +%s%N) - begin_ns) / 1000000))
fi
list_bytes=$(curl -si -H "Accept-Encoding: br, gzip" "http://$platform/v1/vms" | wc -c)
relay=${pid_of[c0-1]}
awk -v seconds="$seconds" -v centres="$centres" -v per="$per_centre" -v relay="$relay" -v list="$list_bytes" '
  FILENAME ~ /before$/ && NF == 7 { for (i = 4; i <= 7; ++i) was[$1 $2 $3, i] = $i; next }
  FILENAME ~ /after$/ && NF == 7 { for (i = 4; i <= 7; ++i) sum[$1, i] += $i - was[$1 $2 $3, i]; pids[$1]; still[$1 $2 $3]; next }
  FILENAME ~ /cpu-before$/ { cpu[$1] -= $2; next }
  FILENAME ~ /cpu-after$/ { cpu[$1] += $2; next }
  FILENAME ~ /memory$/ { rss[$1] = $2; anon[$1] = $3; next }
  END {
    for (p in pids) {
      payload = (sum[p, 4] + sum[p, 5]) / seconds; segments = (sum[p, 6] + sum[p, 7]) / seconds
      wire = payload + 52 * segments; core = cpu[p] / seconds
      total += payload; wires += wire; seg += segments; cores += core; memory += rss[p]; n++
      anons += anon[p]
      if (p != relay && payload > most) most = payload
      if (core > most_core) most_core = core
      if (rss[p] > most_rss) most_rss = rss[p]
    }
    printf "{\"centres\":%d,\"vms\":%d,\"payload_bytes_per_s\":%.0f,\"sent_bytes_per_s\":%.0f,\"wire_bytes_per_s\":%.0f,\"segments_per_s\":%.1f,", \
      centres, n, total / n, total / n / 2, wires / n, seg / n
    printf "\"relay_payload_bytes_per_s\":%.0f,\"relay_wire_bytes_per_s\":%.0f,\"most_payload_not_relay\":%.0f,", \
      (sum[relay, 4] + sum[relay, 5]) / seconds, (sum[relay, 4] + sum[relay, 5] + 52 * (sum[relay, 6] + sum[relay, 7])) / seconds, most
    # The bytes of a connection that was replaced in the meantime are missing from the sums.
    for (key in was) { split(key, part, SUBSEP); if (part[2] == 4 && !(part[1] in still)) gone++ }
    printf "\"connections_gone\":%d,", gone
    printf "\"list_reply_bytes\":%d,\"core_percent\":%.2f,\"most_core_percent\":%.2f,\"rss_mb\":%.1f,\"anonymous_mb\":%.1f,\"most_rss_mb\":%.1f,", \
      list, cores / n, most_core, memory / n / 1024, anons / n / 1024, most_rss / 1024
  }' "$work/before" "$work/after" "$work/cpu-before" "$work/cpu-after" "$work/memory"
echo "\"changes\":$changes,\"endpoints\":$endpoint_count,\"in_force_ms\":$in_force_ms,\"calls_before\":$(cat "$work/calls-before"),\"calls_after\":$(cat "$work/calls-after"),\"seconds\":$seconds}"
