#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the failing runs.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 python3 review/7/case.py
