#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/known-red.sh

usage() {
    cat <<'TXT'
Usage: Meta/spurtide.sh COMMAND
  run       install, build, and serve the demo workload through real processes
  test      install, build, and run all tests
  build     install and build
  prove     each promise under each fault: tests, and real processes killed, frozen and stopped
  measure   all experiments with their tables and plots, and the decision benchmark
  sanitize  the data path's tests under the address and undefined behaviour sanitizers
  check     formatting, linter and generated code
TXT
}

build() {
    bash Meta/install-dependencies.sh
    cmake -S . -B Build -G Ninja >Build.log 2>&1 || { cat Build.log; return 1; }
    rm -f Build.log
    cmake --build Build
}

case "${1:-}" in
run)
    build
    exec bash Meta/run.sh
    ;;
test)
    build
    known_red=$(known_red_pattern)
    [ -z "$known_red" ] || { echo "Known to fail, not run:" && cat KNOWN-RED.txt; }
    exec ctest --test-dir Build --output-on-failure --parallel 4 ${known_red:+--exclude-regex "$known_red"}
    ;;
build) build ;;
check)
    build
    exec bash Meta/check.sh
    ;;
sanitize)
    bash Meta/install-dependencies.sh
    bash Meta/sanitize.sh
    ;;
prove)
    build
    results=$(mktemp)
    bash Meta/prove-processes.sh "$results" && processes=0 || processes=1
    PROCESS_RESULTS=$results bash Meta/prove.sh && tests=0 || tests=1
    rm -f "$results"
    exit $((processes | tests))
    ;;
measure)
    build
    exec bash Meta/measure.sh
    ;;
*)
    usage
    exit 2
    ;;
esac
