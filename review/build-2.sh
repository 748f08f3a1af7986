#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs of the standard library: nothing is
# built, only checked that they compile.
set -e
cd "$(dirname "$0")"
for file in bench2/fleet.py 6/case.py 7/case.py 8/case.py 8/crowd.py 9/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
