#!/bin/sh
# A request that crashes servers comes again and again. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
