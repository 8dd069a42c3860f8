#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec python3 review/2/case.py review/2
