#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Plays each day of Tests/Platform/days.txt on a site with the users' bench and prints a table: rules broken and
# share served. Usage: FLEETBENCH=PROGRAM Meta/play-days.sh SITE.toml [NAME...]; reports stay in $OUT.
set -euo pipefail
cd "$(dirname "$0")/.."
SITE=$1
shift
OUT=${OUT:-$(mktemp -d)}
export SITE OUT FLEETBENCH
"$FLEETBENCH" build >/dev/null 2>&1

play() {
    local name plan faults
    IFS='|' read -r name plan faults <<<"$1"
    name=$(tr -d ' ' <<<"$name")
    printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = 4711\nlength_s = 30.0\none = 0.6\nzero = 0.1\nlabels = []\nplan = [%s]\nfaults = [%s]\n' "$name" "$plan" "$faults" >"$OUT/$name.toml"
    "$FLEETBENCH" run "$SITE" "$OUT/$name.toml" --no-cpu --log all >"$OUT/$name.log" 2>&1 || true
}
export -f play
grep -v '^#' Tests/Platform/days.txt | grep -E "^(${*:-.*}) *\|" | tr '\n' '\0' | xargs -0 -P "${JOBS:-4}" -I{} bash -c 'play "$1"' _ {}

printf '%-26s %7s %7s %8s %7s  %s\n' day worth served refused failed broken
for log in "$OUT"/*.log; do
    awk -v name="$(basename "$log" .log)" '/^day  / { getline; broken = match($0, /BROKEN:.*/) ? substr($0, RSTART, RLENGTH) : "-"; if ($0 ~ /exits of its own/ && $0 !~ /most for exits/) broken = broken " exits"; printf "%-26s %7s %7s %8s %7s  %s\n", name, $4, $5, $6, $7, broken; found = 1 } /^(error|fleetbench:)/ { error = $0 } END { if (!found) printf "%-26s not played: %s\n", name, error }' "$log"
done
