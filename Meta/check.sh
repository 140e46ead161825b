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

echo "== the platform's names stand in its folder alone"
# Header prefix, paths (but for two that the product has of its own), tables and field names of the platform's wire; its folder and its contract tests know them.
names='X-Spurtide-|Kv-Fetch|Server-Limit|Store-Era|Server-Leaving|/v1/rows-|/v1/kv-|/v1/readyz|/v1/blob|tls_key|route_kind|slo_ms|path_prefix"|kv_capacity|token_kv_bytes|platform_terms|call_seq|cold_left_ms|fencing_token|X-Api-Key|api_keys|plain_tokens|rate_per_s|no_auth|tenant'
if git grep -nE "$names" -- Libraries Services Utilities StandIns Benchmarks Tests ':!Tests/Platform'; then
    echo "the platform's names belong into platform/"
    failed=1
fi
platform_lines=$(cat platform/*.cpp platform/*.h | wc -l)
product_lines=$(git ls-files --cached --others --exclude-standard 'Libraries/*.cpp' 'Libraries/*.h' 'Services/*.cpp' 'Services/*.h' | grep -v '\.pb\.' | xargs cat | wc -l)
[ $((platform_lines * 10)) -lt "$product_lines" ] || { echo "platform/ has $platform_lines lines, a tenth of the product's $product_lines or more"; failed=1; }

echo "== names of tests"
# CTest takes a list apart at semicolons: such a test would be run as two that are not there.
if git grep -nE 'TEST_CASE\("[^"]*;' -- Tests; then
    echo "a test's name may hold no semicolon"
    failed=1
fi

echo "== clang-tidy"
# A file is passed over if neither it nor a header that it includes has changed since it was last found clean.
# All clones on a machine share the results, whose names are hashes of contents.
export TIDY_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/spurtide/tidy"
mkdir -p "$TIDY_CACHE"
# Debian's usual version knows no standard coroutines; Asio takes any clang for one of those.
export TIDY="clang-tidy-16 --extra-arg=-DASIO_HAS_CO_AWAIT=1 --extra-arg=-DASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-unknown-warning-option"
TIDY_VERSION=$(cat .clang-tidy <($TIDY --version) | sha256sum | cut -d' ' -f1)
export TIDY_VERSION
# "SOURCE HEADERS...", a line each, from the dependencies that the compiler recorded for the build.
included_files() {
    ninja -C Build -t deps | awk -v root="$PWD/" '
        function flush() { if (source != "") print source headers; source = ""; headers = "" }
        /^[^ ]/ { flush(); next }
        NF == 1 {
            file = $1
            sub("^" root, "", file)
            sub("^\\.\\./", "", file)
            if (file ~ /^\//) next
            if (source == "") source = file
            else headers = headers " " file
        }
        END { flush() }'
}
TIDY_INCLUDES=$(mktemp)
export TIDY_INCLUDES
included_files | sort -u >"$TIDY_INCLUDES"
# Without recorded dependencies, all headers count.
TIDY_ALL_HEADERS=$(printf '%s ' $(printf '%s\n' "${sources[@]}" | grep '\.h$'))
export TIDY_ALL_HEADERS
tidy_one() {
    local file=$1 key log headers
    headers=$(awk -v file="$file" '$1 == file { $1 = ""; print; exit }' "$TIDY_INCLUDES")
    # shellcheck disable=SC2086
    key=$({ echo "$TIDY_VERSION"; cat "$file" ${headers:-$TIDY_ALL_HEADERS}; } | sha256sum | cut -d' ' -f1)
    [ -e "$TIDY_CACHE/$key" ] && return 0
    log=$(mktemp)
    if $TIDY --quiet -p Build "$file" >"$log" 2>/dev/null; then
        touch "$TIDY_CACHE/$key"
    else
        cat "$log"
        rm -f "$log"
        return 1
    fi
    rm -f "$log"
}
export -f tidy_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^Tests/' | xargs -P "$(nproc)" -I{} bash -c 'tidy_one {}' || failed=1
rm -f "$TIDY_INCLUDES"

echo "== scripts"
for script in Meta/*.sh .ci/run; do bash -n "$script" || failed=1; done

[ "$failed" = 0 ] && echo "check: clean"
exit "$failed"
