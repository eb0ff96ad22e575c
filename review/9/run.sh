#!/bin/sh
# Writes record.txt in this folder. TROUBLE=0 runs the case without its disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
