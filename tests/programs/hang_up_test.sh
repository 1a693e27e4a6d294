#!/bin/bash
# Guards against a SIGHUP that ends a program during startup: changed settings are also announced to a program that is
# still starting. SIGHUP has to stay blocked until the program can reload its settings.
# usage: hang_up_test.sh PROGRAM FOLDER
set -uo pipefail
program=$1
folder=$2
starts=5
signals_each=40

fail() {
  echo "FAILED: $1"
  kill -KILL "$pid" 2>/dev/null
  exit 1
}

# Succeeds if the process blocks SIGHUP (the lowest bit of the signal mask).
blocks_hang_up() {
  local mask
  mask=$(awk '/^SigBlk/ {print $2}' "/proc/$pid/status" 2>/dev/null)
  [ -n "$mask" ] && [ $((16#${mask: -1} & 1)) -eq 1 ]
}

for start in $(seq "$starts"); do
  rm -rf "$folder"
  mkdir -p "$folder"
  "$program" --id store --address 127.0.0.1:0 --seed-voter 127.0.0.1:1 --data "$folder" >"$folder/log" 2>&1 &
  pid=$!
  seen=0
  for _ in $(seq 20000); do
    if blocks_hang_up; then
      seen=1
      break
    fi
    grep -q "event=started" "$folder/log" && break
  done
  [ "$seen" -eq 1 ] || fail "start $start: SIGHUP isn't kept back while it starts"
  for _ in $(seq "$signals_each"); do
    kill -HUP "$pid" || fail "start $start: ended by SIGHUP"
  done
  for _ in $(seq 200); do
    grep -q "event=reload" "$folder/log" && break
    sleep 0.05
  done
  grep -q "event=reload" "$folder/log" || fail "start $start: the settings were not read again"
  kill -TERM "$pid"
  wait "$pid" || fail "start $start: exit code $?"
done
echo "passed"
