#!/bin/bash
# Builds the stand-ins of the third review's scripts (review/11 to review/14) into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS= GOPROXY=off go build -C review/standin-3 -o ../../target/review-standin-3 .
