#!/usr/bin/env bash
# Runs router processes on a fake platform, sends requests to them, restarts one
# router in the meantime unless RESTART is 0, and stops everything. Exits non-zero if
# a response was wrong or truncated. Passes LOAD_FLAGS to lacewing-load site and
# SITE_FLAGS to lacewing-fake site. The logs remain in run/site/log.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=run/site
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT

rm -rf "$dir"
mkdir -p "$dir/log"
# shellcheck disable=SC2086
bin/lacewing-fake site -dir "$dir" ${SITE_FLAGS:-} >"$dir/log/site.log" 2>&1 &
pids+=($!)

# wait_for PATTERN FILE... waits until every file contains the pattern.
wait_for() {
  local pattern=$1
  shift
  for _ in $(seq 100); do
    [ "$(grep -l -- "$pattern" "$@" 2>/dev/null | wc -l)" -eq $# ] && return
    sleep 0.1
  done
  echo "pattern not found in every log after 10 s: $pattern" >&2
  tail -n 5 "$@" >&2
  exit 1
}

start() {
  LACEWINGSHIFT_NODE_FILE="$1" bin/lacewingd serve >>"$dir/log/$(basename "$1" .yaml).log" 2>&1 &
  started=$!
  pids+=("$started")
}

wait_for "site runs" "$dir/log/site.log"
logs=()
for file in "$dir"/router-*.yaml; do
  start "$file"
  logs+=("$dir/log/$(basename "$file" .yaml).log")
done
wait_for "state=ready" "${logs[@]}"

# shellcheck disable=SC2086
bin/lacewing-load site -dir "$dir" ${LOAD_FLAGS:-} &
load=$!
if [ "${RESTART:-1}" = 1 ]; then
  sleep 3
  kill -TERM "$started"
  wait "$started" || true
  start "$file"
fi
wait "$load"
