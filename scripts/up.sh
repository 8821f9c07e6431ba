#!/usr/bin/env bash
# Starts a complete deployment of separate processes on loopback addresses and
# leaves it running. DEPLOYMENT is piedmont or solas, POLICY the scheduling policy,
# and NETWORK the second byte of its addresses (0 for the default).
set -euo pipefail
cd "$(dirname "$0")/.."
name=${DEPLOYMENT:-piedmont}
policy=${POLICY:-lacewing}
dir=run/$name
if [ -f "$dir/pids" ]; then
  echo "deployment $name is already running, stop it with: make down DEPLOYMENT=$name" >&2
  exit 1
fi
rm -rf "$dir"
mkdir -p "$dir/log"
bin/lacewing-fake deployment -name "$name" -dir "$dir" -policy "$policy" -network "${NETWORK:-0}"

start() {
  local log=$1
  shift
  "$@" >"$dir/log/$log.log" 2>&1 </dev/null &
  echo "$! $log" >>"$dir/pids"
}

ids() { sed -n 's/^ *"id": "\([^"]*\)".*/\1/p' "$1"; }

start platform bin/lacewing-fake platform -config "$dir/platform.json"
start links bin/lacewing-fake links -config "$dir/links.json"
for id in $(ids "$dir/engines.json"); do
  start "engine-$id" bin/lacewing-fake engine -config "$dir/engines.json" -id "$id"
done
for id in $(ids "$dir/plains.json"); do
  start "plain-$id" bin/lacewing-fake plain -config "$dir/plains.json" -id "$id"
done
admins=""
for file in "$dir"/router-*.json; do
  router=$(basename "$file" .json)
  start "$router" bin/lacewingd run -settings "$file"
  address=$(sed -n '/"listen"/,/}/s/.*"admin": "\([^"]*\)".*/\1/p' "$file")
  admins="$admins${admins:+,}$address"
done
echo "$admins" >"$dir/admins"

for attempt in $(seq 50); do
  if bin/lacewingctl -admin "$admins" -key-file "$dir/operator.key" config apply -base 0 "$dir/lists.json" >"$dir/log/apply.log" 2>&1; then
    break
  fi
  if [ "$attempt" = 50 ]; then
    cat "$dir/log/apply.log" >&2
    exit 1
  fi
  sleep 0.2
done
scripts/ready.sh "$dir"
