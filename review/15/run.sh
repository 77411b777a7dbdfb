#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
timeout -s TERM 115 python3 review/15/case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
