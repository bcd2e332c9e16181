#!/usr/bin/env bash
# Plots the latencies of load runs as a share of requests over milliseconds.
# usage: plot_load.sh OUT.svg RUN.json [RUN.json...]
set -euo pipefail
OUT=${1:?usage: plot_load.sh OUT.svg RUN.json [RUN.json...]}
shift
[ $# -gt 0 ] || { echo "plot_load.sh: no run given" >&2; exit 2; }
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
PLOTS=""
for RUN in "$@"; do
  NAME=$(basename "$RUN" .json)
  python3 - "$RUN" >"$WORK/$NAME.dat" <<'PYTHON'
import json
import sys

run = json.load(open(sys.argv[1]))
below = 0
for row in run["histogram"]:
    below += row["count"]
    print(row["from_us"] / 1000, below / run["requests"])
PYTHON
  PLOTS+="${PLOTS:+, }'$WORK/$NAME.dat' using 1:2 with steps title '$NAME' noenhanced"
done
gnuplot <<GNUPLOT
set terminal svg size 800,500
set output '$OUT'
set logscale x
set xlabel 'latency since due, milliseconds'
set ylabel 'share of requests'
set yrange [0:1.02]
set key bottom right
set grid
plot $PLOTS
GNUPLOT
