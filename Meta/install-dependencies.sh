#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Installs what the build and the tests need, from Debian's packages. Does nothing where all is there.
set -euo pipefail

PACKAGES=(
    g++ cmake ninja-build ccache pkg-config protobuf-compiler clang-format clang-tidy-16
    libasio-dev libhttp-parser-dev libzmq3-dev cppzmq-dev libprotobuf-dev prometheus-cpp-dev libcpp-httplib-dev
    libgoogle-glog-dev catch2 nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev libbenchmark-dev
    curl jq gnuplot-nox
)

missing=()
for package in "${PACKAGES[@]}"; do
    dpkg-query --show --showformat='${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    echo "Installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
