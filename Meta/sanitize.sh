#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Builds what the data path runs on with the sanitizers and runs its tests: coroutines outlive what they use easily.
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/known-red.sh
TESTS=(TestLibAsync TestLibDecision TestLibRouter TestPlatform)

cmake -S . -B Build/Sanitized -G Ninja -DSPURTIDE_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" >/dev/null
cmake --build Build/Sanitized --target "${TESTS[@]}"
failed=0
[ ! -s KNOWN-RED.txt ] || { echo "Known to fail, not run:" && cat KNOWN-RED.txt; }
run_test() {
    local test=$1 excluded
    # What still waits when a test ends is no leak of the program, which ends with its loop.
    mapfile -t excluded < <(known_red_exclusions "$test")
    ASAN_OPTIONS=detect_leaks=0 "Build/Sanitized/bin/$test" "${excluded[@]}"
}
logs=$(mktemp -d)
# Side by side, as each uses one core.
declare -A running
for test in "${TESTS[@]}"; do
    run_test "$test" >"$logs/$test" 2>&1 &
    running[$test]=$!
done
for test in "${TESTS[@]}"; do
    echo "== $test"
    wait "${running[$test]}" || failed=1
    cat "$logs/$test"
done
rm -rf "$logs"
[ "$failed" = 0 ] && echo "sanitize: clean"
exit "$failed"
