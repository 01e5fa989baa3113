#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain Python and use the standard library alone, so compiling them is all.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2
for case in review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$case" || .venv/bin/python -m compileall -q "$case"
done
