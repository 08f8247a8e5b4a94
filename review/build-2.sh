#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, compiled with the interpreter of the deploy file's build.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/.venv/bin/python" -m compileall -q "$root/review/standins-2"
