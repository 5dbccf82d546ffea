#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. It needs Go only, and no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOWORK=off go build -o ../bin/harness .
