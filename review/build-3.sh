#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3 ./review/standin3
