#!/usr/bin/env bash
# Builds the stand-in that the scripts start.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o ../target/review-standin ./standin
