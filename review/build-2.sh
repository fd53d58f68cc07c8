#!/usr/bin/env bash
# Builds what the scripts of the second review (review/6 to review/10) start beside the
# programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/emulated-deployment
go build -C review/harness-2 -o ../../target/harness-2 .
