#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.:review PYTHONWARNINGS=ignore
exec timeout --preserve-status -k 4 115 python3 review/7/case.py
