#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# The demo: two entry VMs before two prefill and two decode engines of each model and two plain
# services, all on loopback with free ports. Sends the demo workload and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/Build/bin
STATE=$(mktemp -d)
source Meta/processes.sh
ACCOUNT_KEY=demo-account-key
OPERATOR_KEY=demo-operator-key
OPERATOR_HASH=$(hash_of "$OPERATOR_KEY")
trap 'stop_processes || true; rm -rf "$STATE"' EXIT

printf '{ "address": "127.0.0.1:0" }\n' >"$STATE/platform.json"
start_process platform PlatformStandIn
platform=$(field platform http)

ENGINES=(catalogue-prefill-1 catalogue-prefill-2 catalogue-decode-1 catalogue-decode-2 summary-prefill-1 summary-decode-1)
printf '{ "prefill_tokens_per_second": 60000, "engines": [' >"$STATE/engines.json"
separator=""
for engine in "${ENGINES[@]}"; do
    printf '%s { "name": "%s", "address": "127.0.0.1:0" }' "$separator" "$engine" >>"$STATE/engines.json"
    separator=","
done
printf ' ] }\n' >>"$STATE/engines.json"
start_process engines EngineStandIn
printf '{ "servers": [ { "name": "app-tejghea-1", "address": "127.0.0.1:0" }, { "name": "rezervari-app-1", "address": "127.0.0.1:0" } ] }\n' >"$STATE/services.json"
start_process services ServiceStandIn

start_entry_vm vm-1 buc-hala-a "$platform" 127.0.0.1
start_entry_vm vm-2 buc-hala-a "$platform" 127.0.0.1 "$(field vm-1-config wire)"

engine_entry() { printf '{ "name": "%s", "data_centre": "buc-hala-a", "address": "%s", "checks_fence": true }' "$1" "$(field engines "$1")"; }
rates='"prefill_tokens_per_second": 60000, "cache_bytes_per_token": 100000, "link_bytes_per_second": 10000000000'
cat >"$STATE/fleet.json" <<JSON
// The whole desired state of the demo.
{
  "models": [ { "name": "llm-cataloage", "maximum_prompt_tokens": 60000 }, { "name": "rezumat-llm", "maximum_prompt_tokens": 60000 } ],
  "pools": [
    { "role": "prefill", "model": "llm-cataloage", $rates, "engines": [ $(engine_entry catalogue-prefill-1), $(engine_entry catalogue-prefill-2) ] },
    { "role": "decode", "model": "llm-cataloage", "decode_slots": 20, $rates, "engines": [ $(engine_entry catalogue-decode-1), $(engine_entry catalogue-decode-2) ] },
    { "role": "prefill", "model": "rezumat-llm", $rates, "engines": [ $(engine_entry summary-prefill-1) ] },
    { "role": "decode", "model": "rezumat-llm", "decode_slots": 20, $rates, "engines": [ $(engine_entry summary-decode-1) ] }
  ],
  "services": [
    { "name": "app-tejghea", "servers": [ { "data_centre": "buc-hala-a", "address": "$(field services app-tejghea-1)" } ] },
    { "name": "rezervari-app", "servers": [ { "data_centre": "buc-hala-a", "address": "$(field services rezervari-app-1)" } ] }
  ],
  "accounts": [ { "name": "demo", "key_sha256": "$(hash_of "$ACCOUNT_KEY")" } ]
}
JSON

export SPURTIDE_KEY=$OPERATOR_KEY
SPURTIDE_ADMIN=$(field vm-1-admin http)
export SPURTIDE_ADMIN
wait_ready "$SPURTIDE_ADMIN"
echo "== spurtide apply"
"$BIN/spurtide" check "$STATE/fleet.json"
"$BIN/spurtide" apply "$STATE/fleet.json"
wait_ready "$(field vm-1-placement http)" "$(field vm-2-placement http)" "$(field vm-1-entry http)" "$(field vm-2-entry http)"
for _ in $(seq 100); do
    heard=$("$BIN/spurtide" status --output json | jq '[.cells[].engines_heard] | add')
    [ "$heard" -ge "${#ENGINES[@]}" ] && break
    sleep 0.1
done
echo "== spurtide status"
"$BIN/spurtide" status

echo "== spurtide-load run"
engines=$(for engine in "${ENGINES[@]}"; do field engines "$engine"; done | paste -sd,)
"$BIN/spurtide-load" run --targets "$(field vm-1-entry http),$(field vm-2-entry http)" --key "$ACCOUNT_KEY" --prompts Examples/Workloads/demo.jsonl \
    --requests 40 --rate 10 --seed 1 --cancel-share 0.1 --resume-share 0.15 --engines "$engines" --show-answers 10 --output "$STATE/report.json" | tee "$STATE/report.txt"
status=${PIPESTATUS[0]}

echo "== Decisions for one request"
request=$(sed -n 's/^\[catalogue-reading\] request=//p' "$STATE/report.txt" | head -1 | cut -d' ' -f1)
grep -h "request=$request" "$STATE"/*-placement.log "$STATE"/*-entry.log | sort
echo "== Stopping"
stop_processes
echo "run: exit $status"
exit "$status"
