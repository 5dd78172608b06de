#!/usr/bin/env bash
# Builds the workspace, starts stand-ins (test doubles of the platform and of backend
# servers) and three hosts in two data centres on loopback, sends requests, and stops
# all processes that it started. Requires bash and the Rust toolchain. --keep leaves the
# deployment running; DEMO_PORT sets the first port (21000 by default).
set -euo pipefail
cd "$(dirname "$0")/.."
keep=0
[ "${1:-}" = "--keep" ] && keep=1

cargo build --workspace --locked
bin=target/debug
. scripts/processes.sh

base_port=${DEMO_PORT:-21000}
ip=127.0.0.1
kv=$ip:$base_port
hosts=$ip:$((base_port + 1))

# The platform: the key-value service and the host list.
host_entry() {
  printf '{"name":"h%d","addr":"%s:%d","data_centre":"%s"}' "$1" "$ip" $((base_port + 100 + $1)) "$2"
}
backend_entry() {
  printf '{"name":"%s","addr":"%s:%d","data_centre":"%s","role":"%s","serves":"%s"}' "$1" "$ip" "$2" "$3" "$4" "$5"
}
cat >"$work/hosts.json" <<JSON
{"hosts": [$(host_entry 1 dc-a), $(host_entry 2 dc-a), $(host_entry 3 dc-b)],
 "backends": [
  $(backend_entry prefill-1 $((base_port + 11)) dc-a prefill scribe),
  $(backend_entry prefill-2 $((base_port + 12)) dc-b prefill scribe),
  $(backend_entry decode-1 $((base_port + 13)) dc-a decode scribe),
  $(backend_entry decode-2 $((base_port + 14)) dc-b decode scribe),
  $(backend_entry trailapp-1 $((base_port + 15)) dc-a service trailapp)]}
JSON
start kv $bin/aspenloft-standin kv --listen "$kv"
start hosts $bin/aspenloft-standin hosts --listen "$hosts" --file "$work/hosts.json"

# Backend servers: two prefill engines, two decode engines, one plain service.
for i in 1 2 3 4; do
  start "engine-$i" $bin/aspenloft-standin engine --listen "$ip:$((base_port + 10 + i))"
done
start service $bin/aspenloft-standin service --listen "$ip:$((base_port + 15))"

# Three hosts that run the router.
for i in 1 2 3; do
  dc=dc-a
  [ "$i" = 3 ] && dc=dc-b
  cat >"$work/h$i.json" <<JSON
{"host": "h$i", "data_centre": "$dc",
 "callers": "$ip:$((base_port + 200 + i))", "peers": "$ip:$((base_port + 100 + i))", "admin": "$ip:$((base_port + 300 + i))",
 "platform": {"key_value": "$kv", "host_list": "$hosts"}}
JSON
  RUST_LOG=info start "h$i" $bin/aspenloftd "$work/h$i.json"
done

# The first table, which is written to the key-value service below.
# SHA-256 digest of the caller's key "demo-key".
digest=c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c
table=$(cat <<JSON
{"version": 1,
 "rows": [
  {"name": "scribe", "kind": "model", "serves": "scribe"},
  {"name": "booking", "kind": "service", "serves": "trailapp", "path": "/bookings", "methods": ["POST"], "unrepeatable": true},
  {"name": "trailapp", "kind": "service", "serves": "trailapp"}],
 "callers": [{"name": "demo", "key_sha256": "$digest", "class": "visitors"}]}
JSON
)
cli=$bin/aspenloft
# Retries a command until it succeeds, for about ten seconds.
retry() {
  for _ in $(seq 1 100); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "timed out: $*" >&2
  return 1
}
# Sends a request to a host as the caller "demo". The first argument is the host's number.
call() {
  local host=$1
  shift
  "$cli" call --to "$ip:$((base_port + 200 + host))" --key demo-key "$@"
}
# Sends an operator's command to a host. The first argument is the host's number.
admin() {
  local host=$1
  shift
  "$cli" --host "$ip:$((base_port + 300 + host))" "$@"
}

echo "== the first table"
escaped=$(printf '%s' "$table" | tr -d '\n' | sed 's/\\/\\\\/g; s/"/\\"/g')
put="{\"put\":{\"key\":\"aspenloft/table\",\"expect\":0,\"value\":\"$escaped\",\"lease\":null}}"
retry "$cli" call --to "$kv" --key none /kv '{"list":{"prefix":""}}'
"$cli" call --to "$kv" --key none /kv "$put"
for i in 1 2 3; do retry call "$i" /v1/models; done
# A completion succeeds once the host has the table and the list of servers.
for i in 1 2 3; do
  retry call "$i" /v1/completions '{"model": "scribe", "prompt": "Are you there?", "max_tokens": 1}'
done

echo "== a streamed completion, by host 1"
call 1 /v1/completions '{"model": "scribe", "prompt": "Describe the blue door.", "max_tokens": 4, "stream": true, "stream_options": {"include_usage": true}}'
echo "== a chat, by host 3 in the other data centre"
call 3 /v1/chat/completions '{"model": "scribe", "messages": [{"role": "user", "content": "Good day"}], "max_tokens": 4}'
echo "== one booking, sent by hosts 1 and 2 with one key: executed once"
call 1 --idempotency-key slot-7 /bookings '{"slot": 7}' | tee "$work/first"
call 2 --idempotency-key slot-7 /bookings '{"slot": 7}' | tee "$work/second"
cmp "$work/first" "$work/second"
grep -q '"executions":1' "$work/second"
echo "== a cell is edited, and in force on all three hosts"
admin 2 table set scribe ttft_ms 1500 --wait --who demo
admin 1 table hosts
echo "== why the last completion of host 1 went where it did"
id=$(call 1 /v1/completions '{"model": "scribe", "prompt": "And the red one?", "max_tokens": 1}' | sed 's/.*"id":"\([^"]*\)".*/\1/')
admin 1 explain "$id"
echo "== status of host 1"
admin 1 status
echo "== backend servers"
admin 1 backends
echo "== burn"
admin 1 report burn

if [ "$keep" = 1 ]; then
  echo
  echo "It runs on. Try:"
  echo "  $cli call --to $ip:$((base_port + 201)) --key demo-key /v1/models"
  echo "  $cli --host $ip:$((base_port + 301)) status"
  echo "  $cli --host $ip:$((base_port + 301)) drain"
  echo "Ctrl-C stops everything."
  wait
fi

echo "== a planned stop of host 3"
admin 3 drain
wait "${pids[-1]}"
echo "host 3 has exited and cut nothing"
echo "== done"
