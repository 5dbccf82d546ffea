#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, to target/review-2.
# It needs Go's standard library only.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standins .
