#!/bin/bash
# Runs every command of docs/moving.md against a fleet of real processes under load,
# and then checks that the fleet reports no broken rule.
# usage: run_examples.sh BIN FOLDER DOCS
set -euo pipefail
bin=$1 folder=$2 docs=$3
rm -rf "$folder" && mkdir -p "$folder"
"$bin/banktide-fleet" --deployment kibble --folder "$folder/fleet" --seconds 25 --revision-every-ms 0 > "$folder/report.txt" 2>&1 &
fleet=$!
trap 'kill "$fleet" 2>/dev/null || true' EXIT
for _ in $(seq 600); do
  [ -s "$folder/fleet/calls.txt" ] && break
  kill -0 "$fleet" || { cat "$folder/report.txt"; exit 1; }
  sleep 0.1
done
export REGISTRY LAYOUT PATH="$bin:$PATH"
REGISTRY=$(awk '$1 == "operator" {print $2; exit}' "$folder/fleet/doors")
LAYOUT=$folder/layout.json
"$bin/banktide-shell" --registry "$REGISTRY" routing > "$LAYOUT.read"
head -c -1 "$LAYOUT.read" > "$LAYOUT"
awk '/^```sh$/ {on = 1; next} /^```$/ {on = 0} on' "$docs/moving.md" > "$folder/commands.sh"
(cd "$folder" && timeout 120 bash -exo pipefail commands.sh)
wait "$fleet" || { cat "$folder/report.txt"; exit 1; }
trap - EXIT
cat "$folder/report.txt"
grep -q '^no rule broken$' "$folder/report.txt"
