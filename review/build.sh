#!/bin/sh
# Builds the stand-ins. They are plain Python and use the standard library alone, so compiling them is all.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
