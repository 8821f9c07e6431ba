#!/usr/bin/env bash
# Compares the scheduling policies in POLICIES on the deployments in DEPLOYMENTS. Each
# run uses a new deployment, and runs are sequential because they share the
# processor. SEEDS is the number of seeds per policy, DURATION the length of a run,
# RUN_TIMEOUT its limit in seconds, and RUN_FLAGS are additional flags of
# lacewing-load run. Writes the results and a report to run/bench. Exits non-zero if a
# run gives no result or the lacewing policy violates a guarantee.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-5}
duration=${DURATION:-15s}
deployments=${DEPLOYMENTS:-piedmont solas}
policies=${POLICIES:-lacewing fifo fair_local}
out=run/bench
up_timeout=90
down_timeout=20
run_timeout=${RUN_TIMEOUT:-180}
rm -rf "$out"
mkdir -p "$out"

current=""
stop() {
  [ -z "$current" ] || DEPLOYMENT=$current timeout "$down_timeout" scripts/down.sh || true
  current=""
}
trap stop EXIT

failed=0
# bench NAME POLICY SEED makes one run.
bench() {
  local name=$1 policy=$2 seed=$3
  local file=$out/$name-$policy-$seed
  local status=0
  current=$name
  if ! DEPLOYMENT=$name POLICY=$policy timeout "$up_timeout" scripts/up.sh >"$file.log" 2>&1; then
    echo "$name $policy seed $seed: deployment did not start, see $file.log" >&2
    failed=1
    stop
    return
  fi
  timeout "$run_timeout" bin/lacewing-load run -deployment "run/$name/load.json" -label "$policy" \
    -seed "$seed" -duration "$duration" ${RUN_FLAGS:-} >"$file.out" 2>>"$file.log" || status=$?
  stop
  if tail -n 1 "$file.out" | grep '^{' >"$file.json"; then
    echo "$name $policy seed $seed: exit status $status" >&2
  else
    echo "$name $policy seed $seed: no result, exit status $status, see $file.log" >&2
    rm -f "$file.json"
    failed=1
  fi
  # The baseline policies do not bound the fairness gap, so only lacewing must pass.
  if [ "$policy" = lacewing ] && [ "$status" -ne 0 ]; then
    failed=1
  fi
}

for name in $deployments; do
  for policy in $policies; do
    for seed in $(seq "$seeds"); do
      bench "$name" "$policy" "$seed"
    done
  done
done

results=("$out"/*.json)
if [ ! -e "${results[0]}" ]; then
  echo "no run produced a result" >&2
  exit 1
fi
timeout 30 bin/lacewing-load summary "${results[@]}" | tee "$out/summary.txt"
timeout 30 bin/lacewing-load report -out "$out/report.html" "${results[@]}"
exit "$failed"
