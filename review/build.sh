#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python files that need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/*.py review/[0-9]*/case.py
