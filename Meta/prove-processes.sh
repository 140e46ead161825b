#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# The few real ones: processes are killed, frozen and stopped under load. Two entry VMs, two prefill and two
# decode engines. Appends "pass|FAIL <tab> [promise][fault] <tab> name" lines to the file named by $1.
set -euo pipefail
cd "$(dirname "$0")/.."
RESULTS=${1:?file for the results}
BIN=$PWD/Build/bin
STATE=$(mktemp -d)
source Meta/processes.sh
ACCOUNT_KEY=prove-key
OPERATOR_KEY=prove-operator
OPERATOR_HASH=$(hash_of "$OPERATOR_KEY")
ENGINES=(prefill-1 prefill-2 decode-1 decode-2)

pid_of() { cat "$STATE/$1.pid"; }
remember() { echo "${PROCESS_IDS[-1]}" >"$STATE/$1.pid"; }

start_vm() {
    local vm=$1 peers="" common
    [ -z "${2:-}" ] || peers="\"$2\""
    printf '{ "vm": "%s", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0", "platform_address": "%s", "peers": [%s] }\n' "$vm" "$(field platform http)" "$peers" >"$STATE/$vm-config.json"
    start_process "$vm-config" ConfigServer && remember "$vm-config"
    common=$(printf '"vm": "%s", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0", "directory_address": "%s"' "$vm" "$(field "$vm-config" wire)")
    printf '{ %s }\n' "$common" >"$STATE/$vm-placement.json"
    printf '{ %s }\n' "$common" >"$STATE/$vm-entry.json"
    printf '{ %s, "keys": [ { "name": "o", "role": "operator", "key_sha256": "%s" } ] }\n' "$common" "$OPERATOR_HASH" >"$STATE/$vm-admin.json"
    start_process "$vm-placement" PlacementServer && remember "$vm-placement"
    start_process "$vm-admin" AdminServer && remember "$vm-admin"
    start_process "$vm-entry" EntryServer && remember "$vm-entry"
}

start_all() {
    printf '{ "address": "127.0.0.1:0" }\n' >"$STATE/platform.json"
    start_process platform PlatformStandIn
    printf '{ "prefill_tokens_per_second": 60000, "engines": [ { "name": "prefill-1", "address": "127.0.0.1:0" }, { "name": "prefill-2", "address": "127.0.0.1:0" }, { "name": "decode-1", "address": "127.0.0.1:0" }, { "name": "decode-2", "address": "127.0.0.1:0" } ] }\n' >"$STATE/engines.json"
    start_process engines EngineStandIn
    start_vm vm-1
    start_vm vm-2 "$(field vm-1-config wire)"
    pool() { printf '{ "role": "%s", "model": "llm", "prefill_tokens_per_second": 60000, "engines": [ { "name": "%s-1", "data_centre": "dc", "address": "%s" }, { "name": "%s-2", "data_centre": "dc", "address": "%s" } ] }' "$1" "$1" "$(field engines "$1-1")" "$1" "$(field engines "$1-2")"; }
    printf '{ "models": [ { "name": "llm" } ], "pools": [ %s, %s ], "accounts": [ { "name": "a", "key_sha256": "%s" } ] }\n' "$(pool prefill)" "$(pool decode)" "$(hash_of "$ACCOUNT_KEY")" >"$STATE/fleet.json"
    wait_ready "$(field vm-1-admin http)"
    SPURTIDE_KEY=$OPERATOR_KEY "$BIN/spurtide" --admin "$(field vm-1-admin http)" apply "$STATE/fleet.json" >/dev/null
    wait_ready "$(field vm-1-entry http)" "$(field vm-2-entry http)" "$(field vm-1-placement http)" "$(field vm-2-placement http)"
    local heard=0
    for _ in $(seq 100); do
        heard=$(for vm in vm-1 vm-2; do curl -s "http://$(field $vm-placement http)/metrics" | sed -n 's/^spurtide_cell_engines_heard //p'; done | awk '{ sum += $1 } END { print sum }')
        [ "$heard" -ge 4 ] && break
        sleep 0.1
    done
}

engines_list() { for engine in "${ENGINES[@]}"; do field engines "$engine"; done | paste -sd,; }

# load VMS REQUESTS RATE SEED: in the background; the report goes to STATE/report.json.
load() {
    local targets
    targets=$(for vm in $1; do field "$vm-entry" http; done | paste -sd,)
    printf '{"kind":"q","model":"llm","document_lines":40,"prompt":"Draft the quotation for block C.","max_tokens":64}\n' >"$STATE/prompts.jsonl"
    rm -f "$STATE/report.json"
    "$BIN/spurtide-load" run --targets "$targets" --key "$ACCOUNT_KEY" --prompts "$STATE/prompts.jsonl" --requests "$2" --rate "$3" --seed "$4" --engines "$(engines_list)" --output "$STATE/report.json" >"$STATE/load.txt" 2>&1 &
    LOAD=$!
}

report() { jq -r ".$1" "$STATE/report.json"; }

judge() {
    local name=$1 tags=$2 condition=$3 result=FAIL
    [ -f "$STATE/report.json" ] && jq -e "$condition" "$STATE/report.json" >/dev/null && result=pass
    printf '%s\t%s\t%s\n' "$result" "$tags" "processes: $name" >>"$RESULTS"
    echo "$result  $name: $(jq -c '{sent, answered_whole, refused, failed, not_whole, unreachable, held_at_end, codes}' "$STATE/report.json" 2>/dev/null)"
    [ "$result" = pass ] || cat "$STATE/load.txt"
}

scenario() {
    PROCESS_IDS=()
    start_all
    "$@"
    for id in "${PROCESS_IDS[@]}"; do kill -CONT "$id" 2>/dev/null || true; done
    stop_processes >/dev/null 2>&1 || true
}

kill_entry() {
    load vm-1 60 20 1
    sleep 1.5
    kill -KILL "$(pid_of vm-1-entry)"
    wait "$LOAD" || true
    judge "an entry is killed under load: nothing stays held" "[held][kill]" '.held_at_end == 0 and .answered_whole > 5 and (.unreachable + .not_whole) > 0'
}

freeze_entry() {
    load "vm-1 vm-2" 60 20 2
    sleep 1
    kill -STOP "$(pid_of vm-1-entry)"
    sleep 2
    kill -CONT "$(pid_of vm-1-entry)"
    wait "$LOAD" || true
    judge "an entry is frozen for 2 s: every answer is whole, nothing held" "[held][whole][twice][freeze][lapsed-lease]" '.held_at_end == 0 and .not_whole == 0 and .answered_whole > 40'
}

kill_keeper() {
    load "vm-1 vm-2" 120 20 3
    sleep 1.5
    local keeper=vm-1
    [ "$(curl -s "http://$(field vm-2-placement http)/metrics" | sed -n 's/^spurtide_cell_engines_heard //p')" -ge 4 ] && keeper=vm-2
    kill -KILL "$(pid_of $keeper-placement)"
    wait "$LOAD" || true
    judge "the keeper is killed under load: refusals are not run, the cell moves" "[not-run][held][whole][kill]" '.held_at_end == 0 and .not_whole == 0 and .failed == 0 and .answered_whole > 70'
}

platform_away() {
    load "vm-1 vm-2" 60 20 4
    sleep 0.5
    curl -s -X POST "http://$(field platform http)/faults" -d '{"outage": true}' >/dev/null
    wait "$LOAD" || true
    judge "the platform is away: serving goes on" "[whole][platform-down]" '.held_at_end == 0 and .answered_whole == .sent'
}

planned_stops() {
    load "vm-2" 80 20 5
    sleep 1
    for part in entry admin placement config; do kill -TERM "$(pid_of vm-1-$part)"; done
    wait "$LOAD" || true
    judge "a whole VM is stopped as planned: the other's requests are all answered" "[planned-stop][whole][not-run]" '.held_at_end == 0 and .answered_whole == .sent'
}

engine_mute() {
    load "vm-1 vm-2" 80 20 6
    sleep 1
    curl -s -X POST "http://$(field engines decode-1)/faults" -d '{"stall_transfers": true}' >/dev/null
    wait "$LOAD" || true
    judge "transfers to one engine stall: every answer is whole" "[whole][held][twice][stalled-transfer]" '.held_at_end == 0 and .not_whole == 0 and .answered_whole > 30'
}

trap 'for id in "${PROCESS_IDS[@]}"; do kill -CONT "$id" 2>/dev/null || true; done; stop_processes >/dev/null 2>&1 || true; rm -rf "$STATE"' EXIT
for name in ${SCENARIOS:-kill_entry freeze_entry kill_keeper platform_away planned_stops engine_mute}; do
    scenario "$name"
done
! grep -q "^FAIL" "$RESULTS"
