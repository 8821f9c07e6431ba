#!/usr/bin/env bash
# Prints addresses, key files and example requests for the deployment DEPLOYMENT,
# which up.sh has started.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${DEPLOYMENT:-piedmont}
dir=run/$name
field() { sed -n "s/^ *\"$2\": \"\([^\"]*\)\".*/\1/p" "$1" | sed -n "${3:-1}p"; }
router_settings=$(ls "$dir"/router-*.json | tail -n 1)
entry=$(sed -n '/"advertise"/,/}/s/.*"caller": "\([^"]*\)".*/\1/p' "$router_settings")
key=$(field "$dir/keys.json" key)
engine=$(field "$dir/load.json" engine)
plain=$(field "$dir/load.json" plain)
path=$(field "$dir/load.json" write_path)
cat <<END
Deployment $name is running. Stop it with: make down DEPLOYMENT=$name

Admin addresses of routers: $(cat "$dir/admins")
Operator key:               $dir/operator.key
Keys of the workspaces:     $dir/keys.json
Logs:                       $dir/log

Get the addresses to send requests to:
  curl -s http://$entry/v1/entries
Send a request:
  curl -s http://$entry/v1/completions -H 'Authorization: Bearer $key' \\
    -d '{"model":"$engine","prompt":"What does ex libris mean?","max_tokens":20,"seed":1}'
Send a streaming request:
  curl -sN http://$entry/v1/completions -H 'Authorization: Bearer $key' \\
    -d '{"model":"$engine","prompt":"A long donor history","max_tokens":200,"seed":2,"stream":true}'
Send a call that runs at most once. Repeated, it returns the stored response:
  curl -si http://$entry/v1/services/$plain$path -H 'Authorization: Bearer $key' \\
    -H 'Idempotency-Key: example-1' -d '{"plates":10}'
Show which version of the lists is in force:
  bin/lacewingctl -admin $(cut -d, -f1 "$dir/admins") -key-file $dir/operator.key config status
END
