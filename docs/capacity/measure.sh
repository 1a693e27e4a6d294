#!/bin/sh
# Measures the slopes of docs/CAPACITY.md: measure.sh PROGRAM [trials at once].
# Writes slopes.csv, objects.csv and frames.csv beside this script. PROGRAM is
# banktide-hollow.
set -e
program=$1
at_once=${2:-3}
cd "$(dirname "$0")"
list=$(mktemp)
parts=$(mktemp -d)

# trial x arguments...
trial() {
  name=$1
  x=$2
  shift 2
  echo "--trial $name --x $x $*" >>"$list"
}

for n in 25 50 100 150 200; do
  trial members $n --zones 2 --nodes $((2 * n)) --backends $((2 * n)) --services 20
done
for n in 0 50 100 150 200; do
  trial backends $n --zones 2 --nodes 200 --backends $n --services 20
done
for n in 2 4 6 8 11; do
  trial zones $n --zones $n --controls 11 --nodes $((25 * n)) --backends $((25 * n)) --services 20
done
for n in 3 6 11 16 21; do
  trial controls $n --zones 4 --controls $n --nodes 100 --backends 100 --services 20
done
for n in 10 50 100 200; do
  trial services $n --zones 2 --nodes 200 --backends 200 --services $n
done
for n in 100 500 1000 2000 4000; do
  trial routes $n --zones 2 --nodes 50 --backends 50 --services 20 --routes $n --changes-per-minute 60
done
for n in 0 6 30 60 120; do
  trial changes $n --zones 2 --nodes 50 --backends 50 --services 20 --routes 1000 --changes-per-minute $n
done
for n in 0 2 4 8 16; do
  trial keyed $n --zones 2 --nodes 200 --backends 200 --services 20 --keyed-services $n
done
for n in 0 25 50 75 100; do
  trial loads $n --zones 2 --nodes 100 --backends 100 --services 20 --changing-backends $n --seconds 10
done
for n in 10 20 40 60 80; do
  trial loads_members $n --zones 2 --nodes $((2 * n)) --backends $((2 * n)) --changing-backends $((2 * n)) --services 20 --seconds 10
done
for n in 2 4 8 11; do
  trial loads_zones $n --zones $n --controls 11 --nodes $((20 * n)) --backends $((20 * n)) --changing-backends $((20 * n)) --services 20 --seconds 10
done
for n in 0 6 30 60 120; do
  trial restarts $n --zones 2 --nodes 100 --backends 100 --services 20 --restarts-per-minute $n
done
for n in 90 180 360 540; do
  trial in_force $n --zones 9 --regions 3 --controls 3 --nodes $n --backends $n --services 60 --changes-per-minute 60
done
for n in 66 132 264; do
  trial zone_event $n --zones 11 --controls 11 --nodes $n --backends $n --services 60 --event zone
done
trial region_event 132 --zones 3 --regions 3 --controls 3 --nodes 132 --backends 132 --services 60 --seconds 180 --event region
for n in 3 5 7 9; do
  for ms in 2 10 20 40; do
    for seed in 1 2 3; do
      trial register_regions $n/$ms/$seed --zones 3 --regions 3 --controls $n --region-delay-ms $ms --seed $seed --nodes 18 --backends 18 --services 6 --seconds 10 --changes-per-minute 60 --form-seconds 20
    done
  done
done

# Minutes of processor time.
for n in 525 1050; do
  trial whole $n --zones 11 --controls 11 --nodes $n --backends $n --services $((n * 410 / 2100)) --routes 410 --seconds 5 --changes-per-minute 24
done

nl -ba -nrz "$list" | xargs -P "$at_once" -L 1 sh -c 'n=$1; shift; "$0" --log-level OFF "$@" >"'"$parts"'/$n"' "$program"
echo trial,x,role,metric,mean,highest >slopes.csv
cat "$parts"/* >>slopes.csv
echo object,count,bytes_each,microseconds_for_all >objects.csv
"$program" --log-level OFF --measure objects >>objects.csv
echo message,payload_bytes,answers,microseconds_each >frames.csv
"$program" --log-level OFF --measure frames >>frames.csv
rm -r "$list" "$parts"
