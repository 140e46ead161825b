#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Measures what docs/CAPACITY.md says of one node's data path: idle memory, start, processor time a relayed event
# and memory a stream. Writes docs/measurements/node-slopes.json. Needs a build; takes about half a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/Build/bin
STATE=$(mktemp -d)
NODE_ID=
LOAD_ID=
trap 'kill $NODE_ID $LOAD_ID 2>/dev/null || true; rm -rf "$STATE"' EXIT
OUT=${OUT:-docs/measurements/node-slopes.json}
EVENTS=200
PAUSE_MS=50

processor_microseconds() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000000 / hz }' "/proc/$1/stat"; }
resident_kilobytes() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

measure() {
    local streams=$1 store callers operations began ready idle before after highest=0 now
    mkfifo "$STATE/to-load-$streams"
    "$BIN/NodeLoad" "$streams" "$EVENTS" "$PAUSE_MS" <"$STATE/to-load-$streams" >"$STATE/load-$streams.txt" &
    LOAD_ID=$!
    exec 9>"$STATE/to-load-$streams"
    until [ -s "$STATE/load-$streams.txt" ]; do sleep 0.02; done
    store=$(head -1 "$STATE/load-$streams.txt")
    printf '{ "vm": "vm-1", "data_centre": "dc", "caller_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0", "wire_address": "127.0.0.1:0", "registry_address": "%s" }\n' "$store" >"$STATE/node.json"
    began=$(date +%s%N)
    "$BIN/spurtide-node" --settings "$STATE/node.json" 2>"$STATE/node-$streams.log" &
    NODE_ID=$!
    until grep -q configuration_in_force "$STATE/node-$streams.log"; do sleep 0.002; done
    ready=$((($(date +%s%N) - began) / 1000000))
    callers=$(sed -n 's/.*event=started callers=\([^ ]*\).*/\1/p' "$STATE/node-$streams.log")
    sleep 2
    idle=$(resident_kilobytes "$NODE_ID")
    before=$(processor_microseconds "$NODE_ID")
    echo "$callers" >&9
    while kill -0 "$LOAD_ID" 2>/dev/null; do
        now=$(resident_kilobytes "$NODE_ID")
        [ "$now" -gt "$highest" ] && highest=$now
        sleep 0.2
    done
    after=$(processor_microseconds "$NODE_ID")
    exec 9>&-
    kill "$NODE_ID"
    wait "$NODE_ID" 2>/dev/null || true
    awk -v streams="$streams" -v idle="$idle" -v highest="$highest" -v micros="$(awk -v a="$after" -v b="$before" 'BEGIN { print a - b }')" -v ready="$ready" -F'[= ]' \
        '/^events=/ { printf "{ \"streams\": %d, \"events\": %d, \"whole\": %d, \"failed\": %d, \"idle_kilobytes\": %d, \"kilobytes_per_stream\": %.1f, \"microseconds_per_event\": %.1f, \"configured_after_milliseconds\": %d }\n", streams, $2, $4, $6, idle, (highest - idle) / streams, micros / $2, ready }' "$STATE/load-$streams.txt"
}

for streams in ${STREAM_COUNTS:-50 100 200 400}; do measure "$streams"; done | jq -s '{ node: . }' >"$STATE/slopes.json"
mv "$STATE/slopes.json" "$OUT"
cat "$OUT"
