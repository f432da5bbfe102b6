#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need only Python's own library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
