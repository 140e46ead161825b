#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# A node outlives signals that come while it starts, and waits for addresses that other processes hold.
# Usage: starts.sh FOLDER-OF-PROGRAMS
set -uo pipefail
BIN=$1
STATE=$(mktemp -d)
NODES=()
# Only a failing test waits as long as this.
LIMIT_SECONDS=20
trap 'for id in "${NODES[@]}"; do kill -KILL "$id" 2>/dev/null; done; rm -rf "$STATE"' EXIT

fail() {
    echo "FAILED: $1"
    exit 1
}

# settings CALLER-ADDRESS
settings() {
    local any='"127.0.0.1:0"'
    echo "{ \"vm\": \"vm-1\", \"data_centre\": \"dc\", \"caller_address\": \"$1\", \"operations_address\": $any, \"wire_address\": $any, \"registry_address\": \"127.0.0.1:1\" }"
}

# wait_for DESCRIPTOR EVENT: reads a log until the line of that event, which is then in LINE.
wait_for() {
    while IFS= read -r -t "$LIMIT_SECONDS" -u "$1" LINE; do
        [[ $LINE == *" event=$2 "* ]] && return 0
    done
    fail "no line of event=$2"
}

# Guards against processes that end by themselves since new settings were announced while their libraries were loaded.
# A named pipe in a library's place holds the process up there, and makes it fail once the signal has been sent.
libraries_of() { ldd "$@" 2>/dev/null | awk '$2 == "=>" && $3 ~ /^\// { print $1 }' | sort -u; }
sanitizers=$(ldd "$BIN/spurtide-node" | awk '$1 ~ /^lib(a|ub)san/ { print $3 }')
# shellcheck disable=SC2086
exempt=$(echo libc.so.6; [ -z "$sanitizers" ] || { libraries_of $sanitizers; xargs -n1 basename <<<"$sanitizers"; echo libstdc++.so.6; })
mkdir "$STATE/libraries"
settings 127.0.0.1:0 >"$STATE/loading.json"
tried=0
ended=()
for library in $(libraries_of "$BIN/spurtide-node" "$BIN/libspurtide-node.so" | grep -vxF "$exempt"); do
    mkfifo "$STATE/libraries/$library"
    LD_LIBRARY_PATH=$STATE/libraries "$BIN/spurtide-node" --settings "$STATE/loading.json" 2>/dev/null &
    NODES=("$!")
    timeout "$LIMIT_SECONDS" bash -c 'exec 3>"$0"; kill -HUP "$1"' "$STATE/libraries/$library" "${NODES[0]}" || fail "$library is not loaded"
    wait "${NODES[0]}"
    [ "$?" = "$((128 + $(kill -l HUP)))" ] && ended+=("$library")
    rm "$STATE/libraries/$library"
    tried=$((tried + 1))
done
NODES=()
[ "$tried" -gt 0 ] || fail "no library to load"
[ "${#ended[@]}" = 0 ] || fail "SIGHUP ended ${#ended[@]} of $tried processes that were loading a library: ${ended[*]}"
echo "outlived signals while loading each of $tried libraries"

# Guards against processes that end by themselves since new settings were announced while they started.
# The node waits for its settings in a named pipe: it has begun to start, and has not installed its handlers.
mkfifo "$STATE/settings" "$STATE/log"
exec 3<>"$STATE/log"
"$BIN/spurtide-node" --settings "$STATE/settings" 2>&3 &
NODES+=("$!")
exec 4>"$STATE/settings"
kill -HUP "${NODES[0]}"
settings 127.0.0.1:0 >&4
exec 4>&-
wait_for 3 started
# It reads its settings again, as the signal says.
settings 127.0.0.1:0 >"$STATE/settings"
wait_for 3 settings_read_again
kill -TERM "${NODES[0]}"
wait_for 3 stopped
wait "${NODES[0]}" || fail "the node did not end in order"
echo "started after an early signal"

# Guards against processes that end since their address is still held for a moment.
settings 127.0.0.1:0 >"$STATE/first.json"
"$BIN/spurtide-node" --settings "$STATE/first.json" 2>&3 &
NODES+=("$!")
wait_for 3 started
address=$(sed -E 's/.* callers=(127\.0\.0\.1:[0-9]+).*/\1/' <<<"$LINE")
settings "$address" >"$STATE/second.json"
mkfifo "$STATE/second-log"
exec 5<>"$STATE/second-log"
"$BIN/spurtide-node" --settings "$STATE/second.json" 2>&5 &
NODES+=("$!")
wait_for 5 start_failed
kill -KILL "${NODES[1]}"
wait_for 5 started
kill -TERM "${NODES[2]}"
wait_for 5 stopped
wait "${NODES[2]}" || fail "the node did not end in order"
NODES=()
echo "started once its address was free"

# start NAME SETTINGS: starts a node whose log is read from the descriptor that LOG names.
start() {
    mkfifo "$STATE/$1-log"
    echo "$2" >"$STATE/$1.json"
    exec {LOG}<>"$STATE/$1-log"
    "$BIN/spurtide-node" --settings "$STATE/$1.json" 2>&"$LOG" &
    NODES+=("$!")
}

# with FIELD ADDRESS
with() { settings 127.0.0.1:0 | sed "s/\"$1\": \"[^\"]*\"/\"$1\": \"$2\"/"; }

# field NAME: its value in LINE.
field() { sed -E "s/.* $1=([^ ]+).*/\1/" <<<"$LINE"; }

# Guards against VMs that are gone for good since a port was in use for longer than some seconds when they started.
HELD_SECONDS=12
start holder "$(settings 127.0.0.1:0)"
wait_for "$LOG" started
callers=$(field callers)
operations=$(field operations)
start other-holder "$(settings 127.0.0.1:0)"
wait_for "$LOG" started
peers=$(field callers)
SECONDS=0
start without-callers "$(with caller_address "$callers")"
waiting=("$LOG")
start without-operations "$(with operations_address "$operations")"
waiting+=("$LOG")
start without-peers "$(with wire_address "$peers")"
waiting+=("$LOG")
for log in "${waiting[@]}"; do
    wait_for "$log" start_failed
    while [ "$SECONDS" -lt "$HELD_SECONDS" ]; do
        wait_for "$log" start_failed
    done
done
kill -KILL "${NODES[@]:0:2}"
for log in "${waiting[@]}"; do wait_for "$log" started; done
kill -TERM "${NODES[@]:2}"
for i in 2 3 4; do wait "${NODES[$i]}" || fail "a node did not end in order"; done
NODES=()
echo "started after a long wait for each of its addresses"

# Guards against nodes that stay without metrics or relays since the port was in use when they started.
start holder-again "$(settings 127.0.0.1:0)"
wait_for "$LOG" started
callers=$(field callers)
operations=$(field operations)
start without-metrics "$(settings 127.0.0.1:0 | sed "s/^{/{ \"metrics_address\": \"$callers\", \"relay_address\": \"$operations\",/")"
wait_for "$LOG" metrics_not_served
wait_for "$LOG" relay_not_served
wait_for "$LOG" started
kill -KILL "${NODES[0]}"
wait_for "$LOG" metrics_served
wait_for "$LOG" relay_served
# Read whole before it is searched: curl fails if its reader leaves early.
metrics=$(curl --silent --show-error --fail "http://$callers/metrics") || fail "the metrics are not read"
grep -q '^spurtide_listening{server="relay"} 1' <<<"$metrics" || fail "the metrics do not tell that relays are served"
kill -TERM "${NODES[1]}"
wait "${NODES[1]}" || fail "the node did not end in order"
NODES=()
echo "served metrics and relays once their addresses were free"
