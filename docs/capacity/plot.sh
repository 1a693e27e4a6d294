#!/bin/sh
# Draws the plots of docs/CAPACITY.md from slopes.csv: plot.sh. Needs gnuplot.
set -e
cd "$(dirname "$0")"
points=$(mktemp -d)

# file, title, label of x, label of y, then trial:role:metric:legend ...
plot() {
  file=$1 title=$2 xlabel=$3 ylabel=$4
  shift 4
  lines=""
  for spec in "$@"; do
    IFS=: read -r trial role metric legend <<SPEC
$spec
SPEC
    data="$points/$trial-$role-$metric"
    awk -F, -v t="$trial" -v r="$role" -v m="$metric" '$1 == t && $3 == r && $4 == m {print $2, $5}' slopes.csv |
      sort -n >"$data"
    lines="$lines${lines:+, }'$data' with linespoints title '$legend'"
  done
  gnuplot <<SCRIPT
set terminal svg size 640,400 font "sans,11"
set output "$file.svg"
set title "$title"
set xlabel "$xlabel"
set ylabel "$ylabel"
set key left top
set grid
set yrange [0:*]
plot $lines
SCRIPT
}

plot node_quiet "A quiet node" "members per zone (2 zones)" "bytes/s, and microseconds/s of processor time" \
  members:proxy:sent_bytes:"bytes sent" members:proxy:received_bytes:"bytes received" \
  members:proxy:processor_us:"processor time"
plot node_loads_processor "A node whose zone mates tell other loads every second" "members per zone (2 zones)" \
  "microseconds/s of processor time" loads_members:proxy:processor_us:"each backend changes"
plot node_loads_bytes "Bytes that such a node receives" "zones (20 members each)" "bytes/s" \
  loads_zones:proxy:received_bytes:"received" loads_zones:proxy:sent_bytes:"sent"
plot routes "One configuration a second" "routes" "bytes/s" \
  routes:proxy:received_bytes:"node, received" routes:store:disk_bytes:"store, written to disk"
plot registry "A quiet registry" "members per zone (2 zones)" "bytes/s" \
  members:registry:sent_bytes:"sent" members:registry:received_bytes:"received"
plot controls "A quiet registry and store" "control machines" "messages/s" \
  controls:registry:sent_messages:"registry, sent" controls:store:received_messages:"store, received"
plot keyed "Keyed services of 10 backends" "keyed services (3 control machines)" "bytes/s" \
  keyed:registry:received_bytes:"registry, received" keyed:store:sent_bytes:"store, sent"
rm -r "$points"
