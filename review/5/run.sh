#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 PYTHONWARNINGS=ignore
exec timeout -k 5 115 python3 review/5/case.py
