#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. It needs Go only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -C review/standin -buildvcs=false -o ../../target/review-standin .
