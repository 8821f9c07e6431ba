#!/usr/bin/env bash
# ready.sh DIRECTORY waits until every router of the deployment in the directory
# is ready. It polls each router up to 100 times, every 0.1 s.
set -euo pipefail
dir=$1
for address in $(tr ',' ' ' <"$dir/admins"); do
  for attempt in $(seq 100); do
    if curl -fsS -o /dev/null "http://$address/readyz" 2>/dev/null; then
      break
    fi
    if [ "$attempt" = 100 ]; then
      echo "router at $address is not ready after 100 attempts, see $dir/log" >&2
      exit 1
    fi
    sleep 0.1
  done
done
