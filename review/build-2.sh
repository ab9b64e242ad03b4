#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file. The stand-ins, the
# project's and the review's, are Python files that run with the libraries of target/deps; building them is
# compiling them and checking that they can be imported. Needs no network.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of the deploy file first"; exit 1; }
python3 -m compileall -q bayglade standins review || exit 1
PYTHONWARNINGS=ignore PYTHONPATH=target/deps:.:review python3 -c "import bayglade.gateway, harness" || exit 1
echo "built"
