#!/bin/sh
# Plays one case in the folder of the script that calls it: run_case.sh FOLDER NAME. Exits as the case does; with 2 if
# it isn't built.
stage=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$stage/../.." && pwd)
cd "$1" || exit 2
for program in "$stage/bin/cases" "$root/target/banktide-proxy" "$root/target/banktide-registry" "$root/target/banktide-store"; do
  [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
exec "$stage/bin/cases" "$2" record.txt "$root/target"
