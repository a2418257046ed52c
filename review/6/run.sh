#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/persimmonspoke ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
PYTHONPATH=. python3 review/6/case.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
trap - TERM INT HUP
wait "$child" 2>/dev/null
[ "$status" -le 1 ] || status=2
exit "$status"
