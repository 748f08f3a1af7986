#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo 'could not run: target/deps is missing'; exit 2; }
PYTHONDONTWRITEBYTECODE=1 python3 case.py . &
pid=$!
trap 'kill "$pid"' TERM INT HUP
wait "$pid"
code=$?
# A signal ends the wait early; the program then ends what it started.
wait "$pid" 2>/dev/null
case $code in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
