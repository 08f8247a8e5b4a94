#!/bin/sh
# The stand-ins are Python modules that need nothing but the standard library: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q -f review
