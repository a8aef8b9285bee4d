#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are plain Python of the standard
# library, so they are only compiled, as a check that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/second review/6 review/7 review/8 review/9 review/10
