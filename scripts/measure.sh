#!/usr/bin/env bash
# Builds in release mode, starts stand-ins (test doubles of the platform and of engines)
# and two hosts in one data centre on loopback, and measures the latency, CPU time and
# memory that the router adds. Flags are passed to `aspenloft-load run`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p aspenloft-daemon -p aspenloft-standin -p aspenloft-load
bin=${CARGO_TARGET_DIR:-target}/release
. scripts/processes.sh

ip=127.0.0.1
base=${MEASURE_PORT:-22000}
address() { echo "$ip:$((base + $1))"; }
# Addresses of the stand-ins.
kv=$(address 1)
host_list=$(address 2)
prefill=$(address 11)
decode=$(address 12)
direct_prefill=$(address 13)
direct_decode=$(address 14)

# The platform, one engine of each role behind the router, and one of each role for direct
# requests. They are separate because the home host of an engine cancels work on it that
# no host owns. A decode step takes 20 ms regardless of the number of streams, and 1000
# slots keep the engines from refusing streams, so that their capacity does not affect the
# results.
start kv "$bin/aspenloft-standin" kv --listen "$kv"
start list "$bin/aspenloft-standin" hosts --listen "$host_list" --file "$work/hosts.json"
for engine in "$prefill" "$decode" "$direct_prefill" "$direct_decode"; do
  start "engine-${engine##*:}" "$bin/aspenloft-standin" engine --listen "$engine" --slots 1000 --step-per-stream-us 0
done
cat >"$work/hosts.json" <<JSON
{"hosts": [{"name": "h1", "addr": "$(address 101)", "data_centre": "dc-a"},
           {"name": "h2", "addr": "$(address 102)", "data_centre": "dc-a"}],
 "backends": [
  {"name": "prefill-1", "addr": "$prefill", "data_centre": "dc-a", "role": "prefill", "serves": "scribe"},
  {"name": "decode-1", "addr": "$decode", "data_centre": "dc-a", "role": "decode", "serves": "scribe"}]}
JSON

# The table is written to the key-value service before any host starts.
digest=$(printf 'demo-key' | sha256sum | cut -d' ' -f1)
cat >"$work/put.json" <<JSON
{"put": {"key": "aspenloft/table", "expect": 0, "lease": null, "value":
 "{\"version\": 1, \"rows\": [{\"name\": \"scribe\", \"kind\": \"model\", \"serves\": \"scribe\"}], \"callers\": [{\"name\": \"demo\", \"key_sha256\": \"$digest\"}]}"}}
JSON
# Retries a request until it succeeds, for about ten seconds.
retry() {
  for _ in $(seq 1 100); do
    curl -sf -o /dev/null "$@" && return 0
    sleep 0.1
  done
  echo "timed out: $*" >&2
  return 1
}
retry -X POST "http://$kv/kv" -d @"$work/put.json"

host_pids=()
for i in 1 2; do
  cat >"$work/h$i.json" <<JSON
{"host": "h$i", "data_centre": "dc-a", "callers": "$(address 20$i)", "peers": "$(address 10$i)", "admin": "$(address 30$i)",
 "platform": {"key_value": "$kv", "host_list": "$host_list"}}
JSON
  RUST_LOG=${RUST_LOG:-warn} start "h$i" "$bin/aspenloftd" "$work/h$i.json"
  host_pids+=("${pids[-1]}")
done
for i in 1 2; do retry "http://$(address 30$i)/readyz"; done

code=0
"$bin/aspenloft-load" run --router "$(address 201)" --router "$(address 202)" \
  --prefill "$direct_prefill" --decode "$direct_decode" \
  --pid "${host_pids[0]}" --pid "${host_pids[1]}" "$@" || code=$?
# Warnings and errors of the hosts, to diagnose a failed run.
for i in 1 2; do tail -n 5 "$work/h$i.log" >&2; done
exit $code
