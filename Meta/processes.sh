#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Starts the programs on loopback and stops just these again. Sourced by the other scripts, which set
# BIN (the programs' folder) and STATE (a folder for settings and logs).

PROCESS_IDS=()

# start_process NAME PROGRAM: runs it with STATE/NAME.json and waits for its ready line.
start_process() {
    local name=$1 program=$2 descriptor
    exec {descriptor}< <(exec "$BIN/$program" --settings "$STATE/$name.json" 2>"$STATE/$name.log")
    PROCESS_IDS+=("$!")
    if ! read -r -t 30 -u "$descriptor" READY_LINE; then
        echo "$program ($name) did not start:" >&2
        tail -5 "$STATE/$name.log" >&2
        return 1
    fi
    printf '%s\n' "$READY_LINE" >"$STATE/$name.ready"
}

# field NAME KEY: what the ready line of a process says.
field() {
    tr ' ' '\n' <"$STATE/$1.ready" | sed -n "s|^$2=\(tcp://\)\{0,1\}||p"
}

# stop_processes: in the reverse order of their starts; waits for each.
stop_processes() {
    local index failed=0
    for ((index = ${#PROCESS_IDS[@]} - 1; index >= 0; --index)); do
        kill -TERM "${PROCESS_IDS[index]}" 2>/dev/null || true
    done
    for ((index = ${#PROCESS_IDS[@]} - 1; index >= 0; --index)); do
        wait "${PROCESS_IDS[index]}" || failed=1
    done
    PROCESS_IDS=()
    return $failed
}

# start_entry_vm VM DATA_CENTRE PLATFORM HOST [PEERS...]: a ConfigServer, a PlacementServer, an
# AdminServer and an EntryServer on free ports of HOST.
start_entry_vm() {
    local vm=$1 data_centre=$2 platform=$3 host=$4 peers=""
    shift 4
    local peer
    for peer in "$@"; do peers+="${peers:+, }\"$peer\""; done
    printf '{ "vm": "%s", "data_centre": "%s", "wire_address": "%s:0", "http_address": "%s:0", "platform_address": "%s", "peers": [%s] }\n' \
        "$vm" "$data_centre" "$host" "$host" "$platform" "$peers" >"$STATE/$vm-config.json"
    start_process "$vm-config" ConfigServer || return 1
    local directory
    directory=$(field "$vm-config" wire)
    local common
    common=$(printf '"vm": "%s", "data_centre": "%s", "wire_address": "%s:0", "http_address": "%s:0", "directory_address": "%s"' "$vm" "$data_centre" "$host" "$host" "$directory")
    printf '{ %s }\n' "$common" >"$STATE/$vm-placement.json"
    printf '{ %s }\n' "$common" >"$STATE/$vm-entry.json"
    printf '{ %s, "keys": [ { "name": "operator", "role": "operator", "key_sha256": "%s" } ] }\n' "$common" "$OPERATOR_HASH" >"$STATE/$vm-admin.json"
    start_process "$vm-placement" PlacementServer || return 1
    start_process "$vm-admin" AdminServer || return 1
    start_process "$vm-entry" EntryServer || return 1
}

# wait_ready ADDRESS...: until /readyz of each says so, 30 s at most.
wait_ready() {
    local address
    for address in "$@"; do
        curl --silent --fail --output /dev/null --retry 150 --retry-delay 0 --retry-max-time 30 --retry-all-errors "http://$address/readyz" || {
            echo "$address is not ready" >&2
            return 1
        }
    done
}

hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
