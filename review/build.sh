#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# The stand-ins are scripts of Python's standard library alone: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
