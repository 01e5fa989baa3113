#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python review/3/case.py &
program=$!
# The program ends its dispatchers, also where this script is ended from outside.
trap 'kill "$program"; wait "$program"; exit 2' TERM INT HUP
wait "$program"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
