#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the
# deploy file: the project's own stand-in of the store, and the new ones. All
# are Python and use the libraries in target/deps; nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q laburnumpin/platform review/harness_3.py review/1[1-5]
PYTHONPATH="target/deps:.:review" python3 -S -c 'import harness_3'
