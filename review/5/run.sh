#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec ../../target/review-standin stop ../.. record.txt
