#!/usr/bin/env bash
# Starts a deployment, runs the mixed workload, prints the measures and stops
# everything. Exits non-zero if a guarantee was violated. SEED and DURATION are those
# of the workload, and LOAD_FLAGS are additional flags of lacewing-load run. See
# up.sh for the other variables.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${DEPLOYMENT:-piedmont}
trap scripts/down.sh EXIT
scripts/up.sh
bin/lacewing-load run -deployment "run/$name/load.json" -seed "${SEED:-1}" -duration "${DURATION:-20s}" ${LOAD_FLAGS:-}
