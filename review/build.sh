#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the daemons. The stand-ins are Python programs that
# run from their sources, so it only checks that they compile; the daemons come with the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/bayglade-review-pycache"
python3 -m compileall -q standins review
