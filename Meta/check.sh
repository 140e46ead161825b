#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Formatting, linter, generated code and what may not stand in the repository. Needs a configured Build.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
echo "== clang-format"
clang-format --dry-run --Werror "${sources[@]}" || failed=1

echo "== generated code"
if command -v protoc >/dev/null; then
    folder=$(mktemp -d)
    protoc --proto_path=Libraries/LibWire --cpp_out="$folder" Spurtide.proto
    for file in Spurtide.pb.h Spurtide.pb.cc; do
        cmp "$folder/$file" "Libraries/LibWire/$file" || failed=1
    done
    rm -rf "$folder"
else
    echo "protoc is not installed: not checked"
fi

echo "== clang-tidy"
# Files that did not change since they were last found clean are passed over; their headers count too.
mkdir -p Build/Tidy
export TIDY_VERSION
TIDY_VERSION=$(cat .clang-tidy <(clang-tidy --version) | sha256sum)
headers=$(printf '%s\n' "${sources[@]}" | grep '\.h$' | xargs cat | sha256sum)
export TIDY_HEADERS=$headers
tidy_one() {
    local file=$1 key log
    key=$({ echo "$TIDY_VERSION $TIDY_HEADERS"; cat "$file"; } | sha256sum | cut -d' ' -f1)
    [ -e "Build/Tidy/$key" ] && return 0
    log=$(mktemp)
    if clang-tidy --quiet -p Build "$file" >"$log" 2>/dev/null; then
        touch "Build/Tidy/$key"
    else
        cat "$log"
        rm -f "$log"
        return 1
    fi
    rm -f "$log"
}
export -f tidy_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^Tests/' | xargs -P "$(nproc)" -I{} bash -c 'tidy_one {}' || failed=1

echo "== scripts"
for script in Meta/*.sh .ci/run; do bash -n "$script" || failed=1; done

[ "$failed" = 0 ] && echo "check: clean"
exit "$failed"
