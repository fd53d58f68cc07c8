#!/usr/bin/env bash
# Restarts a host that has accepted the replacement of a primary, while the host that relays
# the store to it is turned away. Exits with 1 if a write is acknowledged that the old
# primary has committed after the promote, 0 if none is, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# The harness leaves the disruption out if TROUBLE is 0.
export TROUBLE="${TROUBLE:-1}"
exec target/harness-2 restarted-host review/7/record.txt
