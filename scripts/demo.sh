#!/usr/bin/env bash
# Builds everything, starts stand-ins and three hosts in two data centres on
# loopback, sends real requests, and stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=0
[ "${1:-}" = "--keep" ] && keep=1

cargo build --workspace --locked
bin=target/debug
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}

base=${DEMO_PORT:-21000}
ip=127.0.0.1
kv=$ip:$base
hosts=$ip:$((base + 1))

# The platform: a key-value service and a list of hosts.
host_entry() {
  printf '{"name":"h%d","addr":"%s:%d","data_centre":"%s"}' "$1" "$ip" $((base + 100 + $1)) "$2"
}
backend_entry() {
  printf '{"name":"%s","addr":"%s:%d","data_centre":"%s","role":"%s","serves":"%s"}' "$1" "$ip" "$2" "$3" "$4" "$5"
}
cat >"$work/hosts.json" <<JSON
{"hosts": [$(host_entry 1 dc-a), $(host_entry 2 dc-a), $(host_entry 3 dc-b)],
 "backends": [
  $(backend_entry prefill-1 $((base + 11)) dc-a prefill scribe),
  $(backend_entry prefill-2 $((base + 12)) dc-b prefill scribe),
  $(backend_entry decode-1 $((base + 13)) dc-a decode scribe),
  $(backend_entry decode-2 $((base + 14)) dc-b decode scribe),
  $(backend_entry trailapp-1 $((base + 15)) dc-a service trailapp)]}
JSON
start kv $bin/aspenloft-standin kv --listen "$kv"
start hosts $bin/aspenloft-standin hosts --listen "$hosts" --file "$work/hosts.json"

# Backend servers: two prefill engines, two decode engines, one plain service.
for i in 1 2 3 4; do
  start "engine-$i" $bin/aspenloft-standin engine --listen "$ip:$((base + 10 + i))"
done
start service $bin/aspenloft-standin service --listen "$ip:$((base + 15))"

# Three hosts of the router.
for i in 1 2 3; do
  dc=dc-a
  [ "$i" = 3 ] && dc=dc-b
  cat >"$work/h$i.json" <<JSON
{"host": "h$i", "data_centre": "$dc",
 "callers": "$ip:$((base + 200 + i))", "peers": "$ip:$((base + 100 + i))", "admin": "$ip:$((base + 300 + i))",
 "platform": {"key_value": "$kv", "host_list": "$hosts"}}
JSON
  RUST_LOG=info start "h$i" $bin/aspenloftd "$work/h$i.json"
done

# The table goes to the key-value service.
digest=$(printf 'demo-key' | sha256sum | cut -d' ' -f1)
table=$(cat <<JSON
{"version": 1,
 "rows": [
  {"name": "scribe", "kind": "model", "serves": "scribe"},
  {"name": "booking", "kind": "service", "serves": "trailapp", "path": "/bookings", "methods": ["POST"], "unrepeatable": true},
  {"name": "trailapp", "kind": "service", "serves": "trailapp"}],
 "callers": [{"name": "demo", "key_sha256": "$digest", "class": "visitors"}]}
JSON
)
# Waits until `$1` answers, at most about ten seconds.
await() {
  for _ in $(seq 1 100); do
    curl -sf -o /dev/null "$@" && return 0
    sleep 0.1
  done
  echo "no answer: $*" >&2
  return 1
}
await -X POST "http://$kv/kv" -d '{"list":{"prefix":""}}'
python3 - "$table" >"$work/put.json" <<'PY' 2>/dev/null || printf '%s' "$table" | sed 's/"/\\"/g' | tr -d '\n' | sed 's/^/{"put":{"key":"aspenloft\/table","expect":0,"value":"/; s/$/","lease":null}}/' >"$work/put.json"
import json, sys
print(json.dumps({"put": {"key": "aspenloft/table", "expect": 0, "value": sys.argv[1], "lease": None}}))
PY
curl -sf -X POST "http://$kv/kv" -d @"$work/put.json"
echo
for i in 1 2 3; do await "http://$ip:$((base + 300 + i))/readyz"; done

auth="Authorization: Bearer demo-key"
echo "== a streamed completion"
curl -sfN "http://$ip:$((base + 201))/v1/completions" -H "$auth" -H 'content-type: application/json' \
  -d '{"model": "scribe", "prompt": "Describe the blue door.", "max_tokens": 4, "stream": true}'
echo "== a chat"
curl -sf "http://$ip:$((base + 203))/v1/chat/completions" -H "$auth" -H 'content-type: application/json' \
  -d '{"model": "scribe", "messages": [{"role": "user", "content": "Good day"}], "max_tokens": 4}'
echo
echo "== one booking, sent twice with one key"
for i in 1 2; do
  curl -sf "http://$ip:$((base + 200 + i))/bookings" -H "$auth" -H 'idempotency-key: slot-7' -d '{"slot": 7}'
  echo
done
$bin/aspenloft --host "$ip:$((base + 301))" status

if [ "$keep" = 1 ]; then
  echo "Callers: http://$ip:$((base + 201)) with '$auth'. Operators: $bin/aspenloft --host $ip:$((base + 301)) status"
  echo "Ctrl-C stops everything."
  wait
fi
