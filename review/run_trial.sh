#!/bin/bash
# Plays one trial and puts its record into the case's folder: run_trial.sh CASE NAME.
# The programs' logs and data are in a temporary folder, removed at the end.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
case_folder=$1
work=$(mktemp -d)
cd "$root" || exit 2
timeout --kill-after=2 110 target/review/trial "$2" "$work" target
code=$?
cp "$work/record.txt" "$case_folder/record.txt" 2>/dev/null
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"; fi
rm -rf "$work"
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
