#!/bin/sh
# Plays one case in its folder: run_case-2.sh FOLDER NAME. Exits as the case does; with 2 if something isn't built.
# TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$1" || exit 2
for program in "$root/target/review/cases-2" "$root/target/banktide-proxy" "$root/target/banktide-registry" "$root/target/banktide-store"; do
  [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
exec "$root/target/review/cases-2" "$2" record.txt "$root/target"
