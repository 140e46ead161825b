#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Starts one of the example deployments as processes on loopback addresses, one address for each VM
# and upstream, drives it with its workload, and stops it. Usage: Meta/example.sh Temelia|MasaComuna
set -euo pipefail
cd "$(dirname "$0")/.."
FOLDER=Examples/${1:?Temelia or MasaComuna}
BIN=$PWD/Build/bin
STATE=$(mktemp -d)
source "$FOLDER/example.conf"
source Meta/processes.sh
OPERATOR_KEY=example-operator-key
OPERATOR_HASH=$(hash_of "$OPERATOR_KEY")
trap 'stop_processes || true; rm -rf "$STATE"' EXIT

printf '{ "address": "%s:9500" }\n' "$PLATFORM_HOST" >"$STATE/platform.json"
start_process platform PlatformStandIn
engines=()
number=0
for data_centre in "${DATA_CENTRES[@]}"; do
    number=$((number + 1))
    prefix=$ADDRESS_PREFIX.$number
    printf '{ "added_delay_microseconds": %s, "prefill_tokens_per_second": %s, "engines": [ { "name": "p", "address": "%s.101:9000" }, { "name": "d1", "address": "%s.111:9000" }, { "name": "d2", "address": "%s.112:9000" } ] }\n' \
        "$ROUND_TRIP_MICROSECONDS" "$PREFILL_RATE" "$prefix" "$prefix" "$prefix" >"$STATE/engines-$number.json"
    start_process "engines-$number" EngineStandIn
    engines+=("$prefix.101:9000" "$prefix.111:9000" "$prefix.112:9000")
    printf '{ "added_delay_microseconds": %s, "servers": [ { "name": "%s-%s", "address": "%s.121:9000" } ] }\n' "$ROUND_TRIP_MICROSECONDS" "$SERVICE" "$number" "$prefix" >"$STATE/services-$number.json"
    start_process "services-$number" ServiceStandIn
done

entries=()
operations=()
first_admin=""
while read -r vm data_centre host; do
    [[ $vm == \#* ]] && continue
    # The first VM of a data centre is the one that the others look for first.
    first_host=$(awk -v dc="$data_centre" '$2 == dc { print $3; exit }' "$FOLDER/machines.txt")
    peers=""
    [ "$first_host" = "$host" ] || peers="\"$first_host:7000\""
    printf '{ "vm": "%s", "data_centre": "%s", "wire_address": "%s:7000", "http_address": "%s:7001", "platform_address": "%s:9500", "peers": [%s] }\n' \
        "$vm" "$data_centre" "$host" "$host" "$PLATFORM_HOST" "$peers" >"$STATE/$vm-config.json"
    settings() { printf '"vm": "%s", "data_centre": "%s", "wire_address": "%s:%s", "http_address": "%s:%s", "directory_address": "%s:7000"' "$vm" "$data_centre" "$host" "$1" "$host" "$2" "$host"; }
    printf '{ %s }\n' "$(settings 7010 7011)" >"$STATE/$vm-placement.json"
    printf '{ %s }\n' "$(settings 7020 8080)" >"$STATE/$vm-entry.json"
    printf '{ %s, "keys": [ { "name": "operator", "role": "operator", "key_sha256": "%s" } ] }\n' "$(settings 7030 7031)" "$OPERATOR_HASH" >"$STATE/$vm-admin.json"
    start_process "$vm-config" ConfigServer
    start_process "$vm-placement" PlacementServer
    start_process "$vm-admin" AdminServer
    start_process "$vm-entry" EntryServer
    entries+=("$host:8080")
    operations+=("$host:7011")
    first_admin=${first_admin:-$host:7031}
done <"$FOLDER/machines.txt"

export SPURTIDE_KEY=$OPERATOR_KEY SPURTIDE_ADMIN=$first_admin
wait_ready "$first_admin"
"$BIN/spurtide" apply "$FOLDER/fleet.json"
wait_ready "${entries[@]}" "${operations[@]}"
for _ in $(seq 100); do
    heard=$(for address in "${operations[@]}"; do curl -s "http://$address/metrics" | sed -n 's/^spurtide_cell_engines_heard //p'; done | awk '{ sum += $1 } END { print sum }')
    [ "$heard" -ge "${#engines[@]}" ] && break
    sleep 0.1
done
"$BIN/spurtide" status
workload=Examples/Workloads/$([ "$1" = Temelia ] && echo temelia || echo masa-comuna).jsonl
"$BIN/spurtide-load" run --targets "$(IFS=,; echo "${entries[*]}")" --key "$ACCOUNT_KEY" --prompts "$workload" \
    --requests "${REQUESTS:-200}" --rate "${RATE:-20}" --seed "${SEED:-1}" --cancel-share 0.05 --resume-share 0.1 \
    --engines "$(IFS=,; echo "${engines[*]}")" && status=0 || status=$?
stop_processes || status=1
echo "example $1: exit $status"
exit "$status"
