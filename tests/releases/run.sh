#!/bin/bash
# Shows that two releases understand each other and each other's data. Not part of CI: it needs the programs of an
# earlier release.
# usage: run.sh OLD_PROGRAMS NEW_PROGRAMS   (folders that hold banktide-proxy, banktide-registry, banktide-store and,
#        for the last part, banktide-fleet, banktide-backend and banktide-caller)
# Exits with 0 if every part held.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
old=$(cd "${1:?usage: run.sh OLD_PROGRAMS NEW_PROGRAMS}" && pwd)
new=$(cd "${2:?usage: run.sh OLD_PROGRAMS NEW_PROGRAMS}" && pwd)
work=$(mktemp -d)
g++ -std=c++20 -O1 -pthread "$here/release_trial.cpp" -o "$work/release_trial" || exit 2
failed=0

# A folder of wrappers, one for each program; $2 is the shell text that sets `programs`.
wrappers() {
  mkdir -p "$1"
  for program in proxy registry store backend caller; do
    printf '#!/bin/bash\n%s\nexec "$programs/banktide-%s" "$@"\n' "$2" "$program" > "$1/banktide-$program"
    chmod +x "$1/banktide-$program"
  done
}

part() {
  local name=$1
  shift
  mkdir -p "$work/$name"
  echo "== $name"
  if "$@" > "$work/$name.out" 2>&1; then echo "== $name: held"; else echo "== $name: FAILED ($?)"; failed=1; fi
  cat "$work/$name.out"
}

# The mesh path: one process of each kind is of the new release, or all are, from their first restart on.
wrappers "$work/mixed-programs" "programs=$old
case \$BANKTIDE_NODE_FILE in *store-b.json | *registry-b.json | *-b.json) programs=$new ;; esac"
wrappers "$work/mixed-turned-programs" "programs=$new
case \$BANKTIDE_NODE_FILE in *store-b.json | *registry-b.json | *-b.json) programs=$old ;; esac"
wrappers "$work/upgrade-programs" "programs=$old
if [ -e $work/upgrade-programs/use-new ]; then programs=$new; fi"
part mixed "$work/release_trial" "$work/mixed" "$work/mixed-programs" mixed
part mixed-turned "$work/release_trial" "$work/mixed-turned" "$work/mixed-turned-programs" mixed
part upgrade "$work/release_trial" "$work/upgrade" "$work/upgrade-programs" upgrade

# The first path: a fleet of which each second process is of the new release, and one whose processes are restarted
# as the new release.
find_id='id=none
for ((i = 1; i < $#; i++)); do
  if [ "${!i}" = --id ] || [ "${!i}" = --instance ]; then next=$((i + 1)) id=${!next}; fi
done'
wrappers "$work/fleet-mixed-programs" "$find_id
programs=$old
case \$id in *[13579]) programs=$new ;; esac"
wrappers "$work/fleet-upgrade-programs" "$find_id
programs=$old
if [ -e $work/started-\$id ]; then programs=$new; fi
touch $work/started-\$id"
events=(--event 4:roll:store-1 --event 5:roll:registry-1 --event 7:roll:store-2 --event 8:roll:registry-2
  --event 10:kill:program=banktide-store --event 11:start:program=banktide-store --event 13:roll:node-1
  --event 14:roll:node-2 --event 15:kill:program=banktide-registry --event 16:start:program=banktide-registry)
if [ -x "$new/banktide-fleet" ] && [ -x "$old/banktide-fleet" ]; then
  for bin in fleet-mixed fleet-upgrade; do
    rm -rf "$work/$bin"
    part "$bin" "$new/banktide-fleet" --deployment kibble --seconds 24 --bin "$work/$bin-programs" \
      --folder "$work/$bin/run" "${events[@]}"
  done
fi
[ "$failed" -eq 0 ] && rm -rf "$work" || echo "logs: $work"
exit "$failed"
