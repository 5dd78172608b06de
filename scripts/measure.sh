#!/usr/bin/env bash
# Builds for release, starts stand-ins and two hosts in one data centre on
# loopback, and measures what the router adds. Flags go to `aspenloft-load run`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p aspenloft-daemon -p aspenloft-standin -p aspenloft-load
bin=${CARGO_TARGET_DIR:-target}/release
. scripts/processes.sh

ip=127.0.0.1
base=${MEASURE_PORT:-22000}
at() { echo "$ip:$((base + $1))"; }
# The addresses by use.
kv=$(at 1)
list=$(at 2)
prefill=$(at 11)
decode=$(at 12)
direct_prefill=$(at 13)
direct_decode=$(at 14)

# The platform, and one engine of each role behind the router and one without it:
# a home sweeps work that no host answers for off its engines. Steps of 20 ms for one stream leave
# room for many streams, so that the engines' own queue stays out of the figures.
start kv "$bin/aspenloft-standin" kv --listen "$kv"
start list "$bin/aspenloft-standin" hosts --listen "$list" --file "$work/hosts.json"
for engine in "$prefill" "$decode" "$direct_prefill" "$direct_decode"; do
  start "engine-${engine##*:}" "$bin/aspenloft-standin" engine --listen "$engine" --slots 1000 --step-per-stream-us 0
done
cat >"$work/hosts.json" <<JSON
{"hosts": [{"name": "h1", "addr": "$(at 101)", "data_centre": "dc-a"},
           {"name": "h2", "addr": "$(at 102)", "data_centre": "dc-a"}],
 "backends": [
  {"name": "prefill-1", "addr": "$prefill", "data_centre": "dc-a", "role": "prefill", "serves": "scribe"},
  {"name": "decode-1", "addr": "$decode", "data_centre": "dc-a", "role": "decode", "serves": "scribe"}]}
JSON

# The table goes to the key-value service before any host starts.
digest=$(printf 'demo-key' | sha256sum | cut -d' ' -f1)
cat >"$work/put.json" <<JSON
{"put": {"key": "aspenloft/table", "expect": 0, "lease": null, "value":
 "{\"version\": 1, \"rows\": [{\"name\": \"scribe\", \"kind\": \"model\", \"serves\": \"scribe\"}], \"callers\": [{\"name\": \"demo\", \"key_sha256\": \"$digest\"}]}"}}
JSON
# Waits until a request is answered, at most about ten seconds.
await() {
  for _ in $(seq 1 100); do
    curl -sf -o /dev/null "$@" && return 0
    sleep 0.1
  done
  echo "no answer: $*" >&2
  return 1
}
await -X POST "http://$kv/kv" -d @"$work/put.json"

hosts=()
for i in 1 2; do
  cat >"$work/h$i.json" <<JSON
{"host": "h$i", "data_centre": "dc-a", "callers": "$(at 20$i)", "peers": "$(at 10$i)", "admin": "$(at 30$i)",
 "platform": {"key_value": "$kv", "host_list": "$list"}}
JSON
  RUST_LOG=${RUST_LOG:-warn} start "h$i" "$bin/aspenloftd" "$work/h$i.json"
  hosts+=("${pids[-1]}")
done
for i in 1 2; do await "http://$(at 30$i)/readyz"; done

code=0
"$bin/aspenloft-load" run --router "$(at 201)" --router "$(at 202)" \
  --prefill "$direct_prefill" --decode "$direct_decode" \
  --pid "${hosts[0]}" --pid "${hosts[1]}" "$@" || code=$?
# The hosts' complaints explain a failed run.
for i in 1 2; do tail -n 5 "$work/h$i.log" >&2; done
exit $code
