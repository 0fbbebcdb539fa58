#!/usr/bin/env bash
# Starts a stand-in object store, four nodes and twelve stand-in backend servers on
# loopback addresses, applies a configuration, sends a lookup and a booking, and runs
# until it is interrupted. With --once it stops after the two requests.
# PORT_BASE is the lowest port that it uses; the default is 17000.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
work=$(mktemp -d)
port_base=${PORT_BASE:-17000}
export JACKDAWLANE_STORE=127.0.0.1:$port_base

pids=()
names=()

stop_all() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

# start NAME COMMAND... starts a process in the background and writes its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# Exits with status 1 if a started process has ended, after printing its name and its last log lines.
report_ended() {
  local i ended=0
  for i in "${!pids[@]}"; do
    if ! kill -0 "${pids[$i]}" 2>/dev/null; then
      ended=1
      echo "${names[$i]} ended; the last lines of its log:" >&2
      tail -n 5 "$work/${names[$i]}.log" | sed 's/^/    /' >&2
    fi
  done
  [ $ended = 0 ] || exit 1
}

# wait_until WHAT COMMAND... runs the command until it succeeds, for about 30 s. It exits with status 1
# after that, or once a started process has ended.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 300); do
    "$@" >/dev/null 2>&1 && return
    report_ended
    sleep 0.1
  done
  echo "timed out after 30 s while waiting until $what" >&2
  exit 1
}

# node NAME NUMBER REGION DATA_CENTRE starts a node whose ports follow from its number.
node() {
  local p=$((port_base + 10 * $2))
  cat >"$work/$1.ini" <<INI
[node]
id = $1
region = $3
data_centre = $4
traffic_address = 127.0.0.1:$((p + 1))
hop_address = 127.0.0.1:$((p + 2))
control_address = 127.0.0.1:$((p + 3))
announce_address = 127.0.0.1:$((p + 4))
metrics_address = 127.0.0.1:$((p + 5))
[store]
address = $JACKDAWLANE_STORE
[peers]
seeds = 127.0.0.1:$((port_base + 13))
[trace]
exporter = file
file = $work/spans.json
sample_ratio = 1
INI
  start "$1" bin/jackdawlaned --settings "$work/$1.ini"
}

start store bin/jackdawstub objectstore --listen "$JACKDAWLANE_STORE"
wait_until "the object store answers" bin/jackdawlane route list

secret_hash=$(echo kitami-secret | bin/jackdawlane hash)
announce_hash=$(echo announce-secret | bin/jackdawlane hash)
cat >"$work/tables.json" <<JSON
{"upsert": {
  "organisations": [{"name": "kitami", "secret_sha256": "$secret_hash"}],
  "pools": [
    {"name": "slot", "service": "slot", "floor": 3, "announce_secret_sha256": "$announce_hash"},
    {"name": "booking", "service": "booking", "floor": 3, "announce_secret_sha256": "$announce_hash"},
    {"name": "proof", "service": "proof", "floor": 3, "announce_secret_sha256": "$announce_hash"}],
  "routes": [
    {"name": "slot", "organisation": "kitami", "path_prefix": "/slots", "pool": "slot", "idempotent": true},
    {"name": "booking", "organisation": "kitami", "path_prefix": "/bookings", "methods": ["POST"], "pool": "booking", "idempotent": false},
    {"name": "proof", "organisation": "kitami", "path_prefix": "/proofs", "methods": ["POST"], "pool": "proof", "idempotent": false}]}}
JSON
bin/jackdawlane apply "$work/tables.json"

node n1 1 doto doto-1
node n2 2 doto doto-2
node n3 3 dohoku dohoku-1
node n4 4 dohoku dohoku-2
export JACKDAWLANE_NODE=127.0.0.1:$((port_base + 13))

number=0
for service in slot booking proof; do
  for first_guard in 1 2 3 4; do
    number=$((number + 1))
    second_guard=$((first_guard % 4 + 1))
    start "$service-$first_guard" bin/jackdawstub backend --service $service --secret announce-secret \
      --address 127.0.0.1:$((port_base + 100 + number)) --seed $number \
      --guard 127.0.0.1:$((port_base + 10 * first_guard + 4)),127.0.0.1:$((port_base + 10 * second_guard + 4))
  done
done

echo "waiting until all 12 backend servers are known"
all_backends_known() { [ "$(bin/jackdawlane status backends 2>/dev/null | grep -c ' ready ')" = 12 ]; }
wait_until "12 backend servers are known" all_backends_known
bin/jackdawlane status
bin/jackdawlane status backends
bin/jackdawlane explain --organisation kitami --method POST /bookings/1

entry=http://127.0.0.1:$((port_base + 11))
echo "--- lookup"
curl -si -H "Proxy-Authorization: Basic $(printf kitami:kitami-secret | base64)" "$entry/slots/obihiro"
echo
echo "--- booking"
curl -si -X POST -d 'half page' -H "Proxy-Authorization: Basic $(printf kitami:kitami-secret | base64)" \
  -H 'Idempotency-Key: order-1' "$entry/bookings/1"
echo
echo "--- trace spans of the two requests"
for _ in $(seq 100); do
  [ "$(grep -c '"Name"' "$work/spans.json" 2>/dev/null)" -ge 4 ] && break
  sleep 0.1
done
grep -o '"Name":"[a-z]*","SpanContext":{"TraceID":"[0-9a-f]*"' "$work/spans.json" | sed 's/"SpanContext":{//'
[ "${1:-}" = --once ] && exit 0
echo "the fleet is running; entry at $entry, logs in $work; interrupt to stop"
wait
