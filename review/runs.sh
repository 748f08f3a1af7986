#!/bin/bash
# Runs a case five times with its disruption and once without; prints the exit codes.
cd "$(dirname "$0")" || exit 2
place=$(mktemp -d) || exit 2
trap 'rm -rf "$place"' EXIT
for number in 1 2 3 4 5; do
    "$1/run.sh" >"$place/out" 2>&1
    echo "$1 run $number exit $? $(tr '\n' ' ' <"$place/out")"
done
TROUBLE=0 "$1/run.sh" >"$place/out" 2>&1
echo "$1 TROUBLE=0 exit $? $(tr '\n' ' ' <"$place/out")"
"$1/run.sh" >/dev/null 2>&1
echo "$1 last run, whose record.txt is kept: exit $?"
