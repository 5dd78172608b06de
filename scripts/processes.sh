# Sourced by other scripts. Starts processes, whose logs go to a temporary directory. When
# the script exits, stops them by id and removes the directory.
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
# Starts a process in the background. The first argument names its log file, without the
# suffix .log.
start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}
