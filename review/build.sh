#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/. It needs no network:
# they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/src"
mkdir -p ../../target/review
GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../../target/review/ .
