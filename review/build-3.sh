#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start: the
# project's own and those of review/lib3. It needs the deploy file's build first
# and no network: they are Python files that use target/deps only.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q pomelograde/standins review/lib3
python3 -c "import pomelograde.standins.hosting.host, pomelograde.standins.hosting.member"
