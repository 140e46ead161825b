#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# A node whose standard error is a pipe that nobody reads answers on, says later how many lines are missing, and ends in order.
# Usage: unread-log.sh FOLDER-OF-PROGRAMS
set -uo pipefail
BIN=$1
STATE=$(mktemp -d)
NODE=
# Lines for more than what the pipe and the node hold.
REQUESTS=2000
# Only a failing test waits as long as this.
LIMIT_SECONDS=20
trap '[ -z "$NODE" ] || kill -KILL "$NODE" 2>/dev/null; rm -rf "$STATE"' EXIT

fail() {
    echo "FAILED: $1"
    exit 1
}

# wait_for EVENT: reads the log until the line of that event, which is then in LINE.
wait_for() {
    while IFS= read -r -t "$LIMIT_SECONDS" -u 3 LINE; do
        [[ $LINE == *" event=$1 "* ]] && return 0
    done
    fail "no line of event=$1"
}

# get PORT PATH: the status line is then in STATUS.
get() {
    exec 4<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n' "$2" >&4
    IFS= read -r -t "$LIMIT_SECONDS" -u 4 STATUS || return 1
    exec 4>&-
}

local='"127.0.0.1:0"'
echo "{ \"vm\": \"vm-1\", \"data_centre\": \"dc\", \"caller_address\": $local, \"operations_address\": $local, \"wire_address\": $local, \"registry_address\": \"127.0.0.1:1\" }" >"$STATE/node.json"
mkfifo "$STATE/log"
exec 3<>"$STATE/log"
"$BIN/spurtide-node" --settings "$STATE/node.json" 2>&3 &
NODE=$!
wait_for started
callers=$(sed -E 's/.* callers=127\.0\.0\.1:([0-9]+).*/\1/' <<<"$LINE")
operations=$(sed -E 's/.* operations=127\.0\.0\.1:([0-9]+).*/\1/' <<<"$LINE")

for ((number = 1; number <= REQUESTS; number++)); do
    get "$callers" "/request-$number" || fail "request $number of $REQUESTS was not answered"
done
get "$operations" /metrics || fail "the metrics were not answered"

wait_for log_lines_dropped
echo "$REQUESTS requests answered, $(grep -o 'count=[0-9]*' <<<"$LINE") lines dropped"
kill -TERM "$NODE"
wait_for stopped
wait "$NODE" || fail "the node did not end in order"
NODE=
