# To be sourced: starts processes with their logs in a folder of its own, and stops
# all of them by id and removes the folder when the script ends.
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
# Starts a process whose output goes to the log named by the first word.
start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}
