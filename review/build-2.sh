#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: they are Python
# files of the standard library alone, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile lib2/world.py 6/case.py 7/case.py 9/case.py 10/case.py
