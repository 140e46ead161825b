#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Guards against VMs that answer nobody since connections to the readiness or metrics address hold all file descriptors.
# Usage: descriptors.sh FOLDER-OF-PROGRAMS
set -uo pipefail
BIN=$1
STATE=$(mktemp -d)
NODES=()
DESCRIPTORS=256
CONNECTIONS=300
LIMIT_SECONDS=20
trap 'for id in "${NODES[@]}"; do kill -KILL "$id" 2>/dev/null; done; rm -rf "$STATE"' EXIT

fail() {
    echo "FAILED: $1"
    exit 1
}

# start OPERATIONS-ADDRESS METRICS-ADDRESS: starts a node; its line at the start is then in LINE.
start() {
    local any='"127.0.0.1:0"'
    echo "{ \"vm\": \"vm-1\", \"data_centre\": \"dc\", \"caller_address\": $any, \"operations_address\": \"$1\", \"metrics_address\": \"$2\", \"wire_address\": $any, \"registry_address\": \"127.0.0.1:1\", \"descriptors\": $DESCRIPTORS }" >"$STATE/node.json"
    rm -f "$STATE/log"
    mkfifo "$STATE/log"
    exec 3<>"$STATE/log"
    (
        ulimit -n "$DESCRIPTORS"
        exec "$BIN/spurtide-node" --settings "$STATE/node.json" 2>&3
    ) &
    NODES=("$!")
    while IFS= read -r -t "$LIMIT_SECONDS" -u 3 LINE; do
        [[ $LINE == *" event=started "* ]] && return 0
    done
    fail "the node did not start"
}

# field NAME: its value in LINE.
field() { sed -E "s/.* $1=([^ ]+).*/\1/" <<<"$LINE"; }

# The addresses that a node had are free once it is gone.
start 127.0.0.1:0 127.0.0.1:0
operations=$(field operations)
metrics=$(field callers)
kill -TERM "${NODES[0]}"
wait "${NODES[0]}" || fail "the node did not end in order"
start "$operations" "$metrics"
callers=$(field callers)

for address in "$operations" "$metrics"; do
    for ((i = 0; i < CONNECTIONS; i++)); do
        exec {connection}<>"/dev/tcp/${address%:*}/${address##*:}" || fail "cannot connect to $address"
    done
done
for address in "$callers" "$operations" "$metrics"; do
    curl --silent --output /dev/null --max-time 5 "http://$address/metrics" || fail "$address does not answer beside $((2 * CONNECTIONS)) connections"
done
kill -TERM "${NODES[0]}"
wait "${NODES[0]}" || fail "the node did not end in order"
NODES=()
echo "answered beside $((2 * CONNECTIONS)) connections to its operations and metrics addresses"
