#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:.:review exec timeout 120 python3 review/7/case.py
