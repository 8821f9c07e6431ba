#!/usr/bin/env bash
# Kills the processes that up.sh started for DEPLOYMENT.
set -uo pipefail
cd "$(dirname "$0")/.."
name=${DEPLOYMENT:-piedmont}
pids=run/$name/pids
[ -f "$pids" ] || exit 0
while read -r pid _; do
  kill -KILL "$pid" 2>/dev/null || true
done <"$pids"
rm -f "$pids"
