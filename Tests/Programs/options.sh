#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Every program answers --help, --version and --check, and refuses bad settings with each fault named.
# Usage: options.sh FOLDER-OF-PROGRAMS
set -uo pipefail
BIN=$1
STATE=$(mktemp -d)
trap 'rm -rf "$STATE"' EXIT
failures=0

# expect CODE PATTERN COMMAND...: the exit code, and a line of the output.
expect() {
    local code=$1 pattern=$2 output actual
    shift 2
    output=$("$@" 2>&1 </dev/null)
    actual=$?
    if [ "$actual" != "$code" ] || ! grep -q -- "$pattern" <<<"$output"; then
        echo "FAILED: ${*##*/}: exit $actual, wanted $code and: $pattern"
        echo "$output" | head -5
        failures=$((failures + 1))
    fi
}

common='"vm": "vm-1", "data_centre": "dc", "wire_address": "127.0.0.1:0", "http_address": "127.0.0.1:0"'
echo "{ $common, \"platform_address\": \"127.0.0.1:1\" } // a comment" >"$STATE/ConfigServer.json"
echo "{ $common, \"directory_address\": \"127.0.0.1:1\" }" >"$STATE/PlacementServer.json"
cp "$STATE/PlacementServer.json" "$STATE/EntryServer.json"
echo "{ $common, \"directory_address\": \"127.0.0.1:1\", \"keys\": [] }" >"$STATE/AdminServer.json"
echo '{ "address": "127.0.0.1:0" }' >"$STATE/PlatformStandIn.json"
echo '{ "engines": [ { "name": "e", "address": "127.0.0.1:0" } ] }' >"$STATE/EngineStandIn.json"
echo '{ "servers": [ { "name": "s", "address": "127.0.0.1:0" } ] }' >"$STATE/ServiceStandIn.json"
echo '{ "unknown_key": 1, }' >"$STATE/not-json.json"
echo '{ "unknown_key": 1, "vm": 5, "http_address": "nowhere", "http_threads": 0, "address": "nowhere", "engines": 1, "servers": 1 }' >"$STATE/bad.json"

for program in ConfigServer PlacementServer EntryServer AdminServer PlatformStandIn EngineStandIn ServiceStandIn; do
    expect 0 "Usage: $program" "$BIN/$program" --help
    expect 0 "^$program [0-9]" "$BIN/$program" --version
    expect 0 "settings are valid" "$BIN/$program" --settings "$STATE/$program.json" --check
    expect 2 "required" "$BIN/$program"
    expect 2 "Try $program --help" "$BIN/$program" --no-such-option
    expect 3 "not_readable" "$BIN/$program" --settings "$STATE/none.json"
    expect 3 "not-json.json: line 1: not_json" "$BIN/$program" --settings "$STATE/not-json.json"
    expect 3 "bad.json: /unknown_key: unknown_key" "$BIN/$program" --settings "$STATE/bad.json"
done
expect 3 "/vm: wrong_type" "$BIN/EntryServer" --settings "$STATE/bad.json"
expect 3 "/http_address: out_of_range" "$BIN/EntryServer" --settings "$STATE/bad.json"
expect 3 "/http_threads: out_of_range" "$BIN/EntryServer" --settings "$STATE/bad.json"
expect 3 "/directory_address: missing" "$BIN/EntryServer" --settings "$STATE/bad.json"

for program in spurtide spurtide-load; do
    expect 0 "Usage: $program" "$BIN/$program" --help
    expect 0 "^$program [0-9]" "$BIN/$program" --version
    expect 2 "try $program --help" "$BIN/$program"
    expect 2 "try $program --help" "$BIN/$program" --no-such-option
done
echo '{ "models": [], "pools": [], "accounts": [] }' >"$STATE/fleet.json"
echo '{"kind":"q","model":"m","prompt":"p"}' >"$STATE/good.jsonl"
echo '{"kind":"q","modle":"m","prompt":"p"}' >"$STATE/bad.jsonl"
expect 0 "configuration is valid" "$BIN/spurtide" check "$STATE/fleet.json"
expect 3 "/models: missing" "$BIN/spurtide" check "$STATE/bad.json"
expect 0 "command line is valid" "$BIN/spurtide" --check apply "$STATE/fleet.json"
expect 6 "cannot be reached" "$BIN/spurtide" --admin 127.0.0.1:1 status
expect 0 "workload is valid" "$BIN/spurtide-load" run --check --targets 127.0.0.1:1 --prompts "$STATE/good.jsonl"
expect 3 "bad.jsonl:1: /modle: unknown_key" "$BIN/spurtide-load" run --check --targets 127.0.0.1:1 --prompts "$STATE/bad.jsonl"
expect 2 "option is not valid" "$BIN/spurtide-load" run --targets 192.0.2.1:80 --prompts "$STATE/good.jsonl"
expect 2 "no experiment" "$BIN/spurtide-load" experiment none

[ "$failures" = 0 ] && echo "options: all as expected"
exit "$((failures > 0))"
