#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
# Builds the stand-ins of the script cases 4 to 8. They are review/standins2.py, which needs no building: this only checks that
# it can be read by the Python that runs it. The program under test is built by the 'build' line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; ast.parse(open("standins2.py", encoding="utf-8").read()); sys.exit(0 if sys.version_info >= (3, 9) else 1)'
