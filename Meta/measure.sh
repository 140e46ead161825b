#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Runs all experiments in virtual time and the decision benchmark, writes docs/measurements/*.json and
# plots, and prints the tables. About four minutes on eight cores.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/Build/bin
OUT=docs/measurements
SEEDS=${SEEDS:-8}
for experiment in ablation faults flood cell-size overload; do
    length=20
    # The baselines' queues grow without bound past capacity, so their runs are kept shorter.
    [ "$experiment" = overload ] && length=15
    echo "\$ spurtide-load experiment $experiment --seeds $SEEDS --length $length"
    "$BIN/spurtide-load" experiment "$experiment" --seeds "$SEEDS" --length "$length" --output "$OUT/$experiment.json"
    echo
done
echo "\$ BenchmarkCellScheduler"
"$BIN/BenchmarkCellScheduler" 2>/dev/null
if command -v gnuplot >/dev/null; then
    data=$(mktemp)
    for policy in spurtide random "least loaded, lagged" "exact, no promise"; do
        jq -r --arg p "$policy" '.rows[] | select(.policy == $p) | [(.condition | sub("load "; "")), .goodput.mean, .goodput.half_width, .wasted_share.mean * 100, .wasted_share.half_width * 100] | join(" ")' "$OUT/overload.json"
        printf '\n\n'
    done >"$data"
    gnuplot <<PLOT
set terminal svg size 760,360 background "white"
set key outside right
set xlabel "load, as a share of capacity"
set output "$OUT/goodput.svg"
set ylabel "goodput, requests a second (95 % intervals)"
titles = "spurtide random least-loaded exact-without-promise"
plot for [i=0:3] "$data" index i using 1:2:3 with yerrorlines title word(titles, i + 1)
set output "$OUT/wasted.svg"
set ylabel "wasted prefill, % of prefill tokens"
plot for [i=0:3] "$data" index i using 1:4:5 with yerrorlines title word(titles, i + 1)
PLOT
    rm -f "$data"
    echo "plots: $OUT/goodput.svg $OUT/wasted.svg"
else
    echo "gnuplot is not installed: no plots"
fi
