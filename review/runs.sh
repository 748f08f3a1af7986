#!/bin/bash
# Runs a case five times with its disruption and once without; prints the exit codes.
cd "$(dirname "$0")" || exit 2
for number in 1 2 3 4 5; do
    "$1/run.sh" >"/tmp/review-$1-$number.out" 2>&1
    echo "$1 run $number exit $? $(tr '\n' ' ' <"/tmp/review-$1-$number.out")"
done
TROUBLE=0 "$1/run.sh" >"/tmp/review-$1-0.out" 2>&1
echo "$1 TROUBLE=0 exit $? $(tr '\n' ' ' <"/tmp/review-$1-0.out")"
"$1/run.sh" >/dev/null 2>&1
echo "$1 last run, whose record.txt is kept: exit $?"
