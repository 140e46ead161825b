#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Prints which test proves which promise of the brief under which fault, from the tests' own tags and a run
# of each, and lists what nothing proves. Exit code 0 only where every test that was run passed.
set -euo pipefail
cd "$(dirname "$0")/.."
STATE=$(mktemp -d)
trap 'rm -rf "$STATE"' EXIT
PROMISES=(held twice whole not-run at-most-once leaving planned-stop config)
FAULTS=(kill freeze cut stalled-transfer caller-cancel platform-down slow answer-lost lapsed-lease operator-race pairs)

for test in Build/bin/Test*; do
    "$test" --reporter xml >"$STATE/$(basename "$test").xml" 2>/dev/null || true
done
# One line a test case: result, tags, name.
awk '
    /<TestCase / { name = $0; sub(/.*<TestCase name="/, "", name); sub(/".*/, "", name); tags = ""; if (match($0, /tags="[^"]*"/)) tags = substr($0, RSTART + 6, RLENGTH - 7); result = "unknown" }
    /<OverallResult / { result = ($0 ~ /success="true"/) ? "pass" : "FAIL" }
    /<\/TestCase>/ { print result "\t" tags "\t" name }
' "$STATE"/*.xml >"$STATE/cases"
[ -f "${PROCESS_RESULTS:-/dev/null}" ] && cat "$PROCESS_RESULTS" >>"$STATE/cases"

echo "Promises of the brief (rows) under faults (columns): passed/run test cases, - where nothing proves it"
printf '%-14s' ""; printf '%-17s' "${FAULTS[@]}" any; echo
unproved=()
for promise in "${PROMISES[@]}"; do
    printf '%-14s' "$promise"
    for fault in "${FAULTS[@]}" ""; do
        counts=$(awk -F'\t' -v p="[$promise]" -v f="${fault:+[$fault]}" 'index($2, p) && (f == "" || index($2, f)) { run++; if ($1 == "pass") passed++ } END { if (run) print passed + 0 "/" run; else print "-" }' "$STATE/cases")
        [ "$counts" = - ] && unproved+=("$promise under $fault")
        printf '%-17s' "$counts"
    done
    echo
done
echo
echo "Tests behind the table"
sort -t"$(printf '\t')" -k2,2 "$STATE/cases" | awk -F'\t' '$2 != "" { print "  " $1 "  " $2 "  " $3 }'
echo
echo "Not proved by any test here: ${#unproved[@]} of $((${#PROMISES[@]} * ${#FAULTS[@]})) pairs"
printf '  %s\n' "${unproved[@]}"
echo
passed=$(grep -c "^pass" "$STATE/cases" || true)
failed=$(grep -vc "^pass" "$STATE/cases" || true)
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
