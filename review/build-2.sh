#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 and later start. The routers come from the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
