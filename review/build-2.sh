#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
