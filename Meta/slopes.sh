#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Measures what docs/CAPACITY.md is worked out from, with small stand-ins on this machine, and writes
# docs/measurements/slopes.json. Takes about three minutes. Needs a build.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/Build/bin
STATE=$(mktemp -d)
source Meta/processes.sh
ACCOUNT_KEY=slopes-key
OPERATOR_HASH=$(hash_of operator)
trap 'stop_processes >/dev/null 2>&1 || true; rm -rf "$STATE"' EXIT
OUT=${OUT:-docs/measurements/slopes.json}
SECONDS_MEASURED=8

resident_kilobytes() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
# Processor time of a process so far, in milliseconds.
processor_milliseconds() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"; }
# Sum of a metric's samples that match a pattern.
metric_sum() { curl -s "http://$1/metrics" | grep "^$2" | grep "${3:-.}" | awk '{ sum += $2 } END { printf "%.0f\n", sum }'; }
last_process() { echo "${PROCESS_IDS[-1]}"; }

# membership VMS: bytes, messages and processor time a second of one ConfigServer among so many.
membership() {
    local count=$1 first="" http process i
    printf '{ "address": "127.0.0.1:0" }\n' >"$STATE/platform.json"
    start_process platform PlatformStandIn
    for ((i = 1; i <= count; ++i)); do
        printf '{ "vm": "vm-%s", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0", "platform_address": "%s", "peers": [%s] }\n' \
            "$i" "$(field platform http)" "${first:+\"$first\"}" >"$STATE/vm-$i.json"
        start_process "vm-$i" ConfigServer
        first=${first:-$(field vm-1 wire)}
    done
    http=$(field "vm-$count" http)
    process=$(last_process)
    sleep 12
    local bytes messages time
    bytes=$(metric_sum "$http" spurtide_wire_payload_bytes)
    messages=$(metric_sum "$http" spurtide_wire_messages)
    time=$(processor_milliseconds "$process")
    sleep "$SECONDS_MEASURED"
    jq -n --argjson vms "$count" --argjson seconds "$SECONDS_MEASURED" \
        --argjson bytes $(($(metric_sum "$http" spurtide_wire_payload_bytes) - bytes)) \
        --argjson messages $(($(metric_sum "$http" spurtide_wire_messages) - messages)) \
        --argjson milliseconds "$(awk -v a="$(processor_milliseconds "$process")" -v b="$time" 'BEGIN { print a - b }')" \
        --argjson resident "$(resident_kilobytes "$process")" \
        '{ vms: $vms, payload_bytes_per_second: ($bytes / $seconds), messages_per_second: ($messages / $seconds), processor_milliseconds_per_second: ($milliseconds / $seconds), resident_kilobytes: $resident }'
    stop_processes
}

# streams COUNT: memory and processor time of an entry that relays so many streams at once.
streams() {
    local count=$1
    printf '{ "address": "127.0.0.1:0" }\n' >"$STATE/platform.json"
    start_process platform PlatformStandIn
    printf '{ "threads": 700, "decode_slots": 600, "step_microseconds": 100000, "step_per_sequence_microseconds": 0, "prefill_tokens_per_second": 1000000, "cache_bytes_per_token": 1, "engines": [ { "name": "p", "address": "127.0.0.1:0" }, { "name": "d", "address": "127.0.0.1:0" } ] }\n' >"$STATE/engines.json"
    start_process engines EngineStandIn
    printf '{ "vm": "vm-1", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0", "platform_address": "%s" }\n' "$(field platform http)" >"$STATE/config.json"
    start_process config ConfigServer
    local common
    common=$(printf '"vm": "vm-1", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0", "directory_address": "%s"' "$(field config wire)")
    printf '{ %s, "token_target_milliseconds": 1000 }\n' "$common" >"$STATE/placement.json"
    printf '{ %s, "http_threads": 640 }\n' "$common" >"$STATE/entry.json"
    printf '{ %s, "keys": [ { "name": "o", "role": "operator", "key_sha256": "%s" } ] }\n' "$common" "$OPERATOR_HASH" >"$STATE/admin.json"
    start_process placement PlacementServer
    local placement
    placement=$(last_process)
    start_process admin AdminServer
    start_process entry EntryServer
    local entry
    entry=$(last_process)
    cat >"$STATE/fleet.json" <<JSON
{ "models": [ { "name": "llm" } ],
  "pools": [ { "role": "prefill", "model": "llm", "prefill_tokens_per_second": 1000000, "engines": [ { "name": "p", "data_centre": "dc", "address": "$(field engines p)" } ] },
             { "role": "decode", "model": "llm", "decode_slots": 600, "engines": [ { "name": "d", "data_centre": "dc", "address": "$(field engines d)" } ] } ],
  "accounts": [ { "name": "a", "key_sha256": "$(hash_of "$ACCOUNT_KEY")" } ] }
JSON
    wait_ready "$(field admin http)"
    SPURTIDE_KEY=operator "$BIN/spurtide" --admin "$(field admin http)" apply "$STATE/fleet.json" >/dev/null
    wait_ready "$(field entry http)" "$(field placement http)"
    sleep 1
    local idle time placement_time
    idle=$(resident_kilobytes "$entry")
    printf '{"kind":"s","model":"llm","prompt":"Summarise the guest notes of table twelve and thirty","max_tokens":200}\n' >"$STATE/prompts.jsonl"
    "$BIN/spurtide-load" run --targets "$(field entry http)" --key "$ACCOUNT_KEY" --prompts "$STATE/prompts.jsonl" --requests $((count * 3)) --rate $((count)) --concurrency "$count" --seed 1 >"$STATE/load.txt" &
    local load=$!
    sleep 3
    time=$(processor_milliseconds "$entry")
    placement_time=$(processor_milliseconds "$placement")
    local tokens_before tokens
    tokens_before=$(metric_sum "$(field entry http)" spurtide_between_tokens_seconds_count)
    sleep 2
    tokens=$(($(metric_sum "$(field entry http)" spurtide_between_tokens_seconds_count) - tokens_before))
    jq -n --argjson streams "$count" --argjson idle "$idle" --argjson resident "$(resident_kilobytes "$entry")" \
        --argjson threads "$(awk '/^Threads/ { print $2 }' "/proc/$entry/status")" \
        --argjson tokens "$tokens" \
        --argjson milliseconds "$(awk -v a="$(processor_milliseconds "$entry")" -v b="$time" 'BEGIN { print a - b }')" \
        --argjson placement "$(awk -v a="$(processor_milliseconds "$placement")" -v b="$placement_time" 'BEGIN { print a - b }')" \
        '{ streams: $streams, idle_resident_kilobytes: $idle, resident_kilobytes: $resident, threads: $threads, tokens_per_second: ($tokens / 2), processor_microseconds_per_token: (if $tokens > 0 then $milliseconds * 1000 / $tokens else null end), placement_milliseconds_per_second: ($placement / 2) }'
    wait "$load" || { cat "$STATE/load.txt" >&2; }
    stop_processes
}

{
    for count in ${VM_COUNTS:-2 4 8 13 26 40}; do membership "$count"; done | jq -s '{ membership: . }'
    for count in ${STREAM_COUNTS:-50 100 200 400}; do streams "$count"; done | jq -s '{ streams: . }'
    "$BIN/BenchmarkCellScheduler" --benchmark_format=json 2>/dev/null | jq '{ decisions: [ .benchmarks[] | { name: .name, nanoseconds: (.real_time | round), p99_microseconds: .p99_us } ] }'
} | jq -s 'add' >"$STATE/slopes.json"
mv "$STATE/slopes.json" "$OUT"
cat "$OUT"
