#!/usr/bin/env bash
# Writes variants of a site file, to check that the routers are not tuned to the
# values of one site: few routers, little memory, slow processors, one plain runner,
# and callers that all choose their router freely. Run them with the bench like the
# site itself.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: $0 SITE.toml DIRECTORY" >&2
  exit 2
fi
site=$1 dir=$2 name=$(basename "$1" .toml)
mkdir -p "$dir"
# The bench reads these files from the directory of the site file.
for beside in wire.json CUT; do
  [ ! -f "$(dirname "$site")/$beside" ] || cp "$(dirname "$site")/$beside" "$dir/"
done
variant() {
  sed -E "$2" "$site" >"$dir/$name-$1.toml"
  if cmp -s "$site" "$dir/$name-$1.toml"; then
    echo "$site: no value found to change for variant $1" >&2
    exit 1
  fi
}
variant few-routers '/class = "front"/s/count = [0-9]+/count = 1/'
variant small-memory '/class = "front"/s/memory_mb = [0-9]+/memory_mb = 128/'
variant slow '/class = "front"/s/cpu_share = [0-9.]+/cpu_share = 0.15/'
variant one-plain-runner '/on_full = "shed"/s/servers = \[(\{[^}]*\})[^]]*\]/servers = [\1]/'
variant free-callers 's/^stick = .*/stick = 0.0/'
